"""The evidence for and against the target version of one order."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_order import RolloutOrder
from rhubarbpaddle.rollout.verdict import Verdict
from rhubarbpaddle.rollout.version_comparison import VersionComparison
from rhubarbpaddle.rollout.version_counts import VersionCounts
from rhubarbpaddle.rollout.version_table import VersionTable

# With this many good responses, a version that fails a fifth of its requests is
# found suspicious in 19 of 20 cases.
_PROVEN_RESPONSES = 20
_PROVEN_LATENCIES = 8
# A service with fewer responses than this until the last decision has so few
# requests that the exposure limit holds even if the version is bad.
_MIN_RESPONSES = 8
_MIN_LATENCIES = 4
# After a pause of the process, the versions are compared again first.
_MAX_VERDICT_AGE_SECONDS = 1.0


class OrderEvidence:
    """Compares the responses of the target version with those of the old one.

    It decides whether they suffice to promote the target version.
    """

    def __init__(
        self,
        order: RolloutOrder,
        board: RolloutBoard,
        versions: VersionTable,
        clock: Clock,
    ) -> None:
        """Creates a comparison without responses.

        Args:
            order: The order.
            board: The counts of all nodes.
            versions: The versions of all instances.
            clock: The source of time.
        """
        self._order = order
        self._board = board
        self._versions = versions
        self._clock = clock
        self._comparison = VersionComparison()
        self._verdict: Verdict | None = None
        self._compared_at = float("-inf")

    def compare(self) -> Verdict:
        """Compares the versions by the counts that are known now."""
        now = self._clock.monotonic()
        verdict = self._comparison.evaluate(*self._get_counts(), now)
        self._verdict, self._compared_at = verdict, now
        return verdict

    def start_promotion(self, now: float) -> None:
        """Compares only later responses of the target from now on.

        Args:
            now: Monotonic seconds.
        """
        target, _ = self._get_counts()
        self._comparison.start_promotion(target, now)

    def get_recent_verdict(self, now: float) -> Verdict | None:
        """Returns the result of the last comparison unless it is too old.

        Args:
            now: Monotonic seconds.
        """
        if now - self._compared_at > _MAX_VERDICT_AGE_SECONDS:
            return None
        return self._verdict

    def is_proven(self, verdict: Verdict, is_final: bool) -> bool:
        """Returns whether the target version may be promoted.

        Args:
            verdict: The result of the last comparison.
            is_final: Whether there will be no later decision.
        """
        return (
            not verdict.is_suspicious
            and verdict.responses
            >= (_MIN_RESPONSES if is_final else _PROVEN_RESPONSES)
            and verdict.latencies
            >= (_MIN_LATENCIES if is_final else _PROVEN_LATENCIES)
            and self.has_target()
        )

    def has_target(self) -> bool:
        """Returns whether an instance of the target accepts requests."""
        versions = self._versions.get_versions(self._order.service)
        return bool(versions.get_nodes(self._order.target_version))

    def _get_counts(self) -> tuple[VersionCounts, VersionCounts]:
        """Returns the counts of the target version and of the version in use.

        Instances of a third version are in neither.
        """
        target = self._order.target_version
        used = self._versions.get_used_version(self._order.service, target)
        reports = self._board.get_reports(
            self._order.service, self._order.number
        )
        return (
            VersionCounts.from_reports(
                report for report in reports if report.version == target
            ),
            VersionCounts.from_reports(
                report
                for report in reports
                if report.version != target and used in (None, report.version)
            ),
        )
