"""What this node knows of the phases and counts of all roll-outs."""

from collections.abc import Callable

from rhubarbpaddle.membership import MemberTable
from rhubarbpaddle.rollout.count_report import CountKey, CountReport
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.rollout_reading import RolloutReading
from rhubarbpaddle.rollout.version_counts import VersionCounts

Notice = PhaseNotice | CountReport
Listener = Callable[[Notice, str | None], None]

# More than the services of a fleet, and than its instances of one service and
# their restarts during a roll-out. They bound the memory that peers can use.
_MAX_SERVICES = 256
_MAX_REPORTS = 4096


class RolloutBoard:
    """Stores the newest notices and notifies listeners of new ones.

    Without a roll-out there are none, so that nothing is sent to other nodes.
    """

    def __init__(self, members: MemberTable) -> None:
        """Creates an empty board.

        Args:
            members: The members; the counts of other nodes are ignored.
        """
        self._members = members
        self._phases: dict[str, PhaseNotice] = {}
        self._reports: dict[CountKey, CountReport] = {}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Adds a function that is called with each new notice.

        Its second argument is the peer that sent the notice, or None.
        """
        self._listeners.append(listener)

    def get_notice(self, service: str) -> PhaseNotice | None:
        """Returns the phase of a service's newest roll-out, or None."""
        return self._phases.get(service)

    def get_phase(self, service: str, order: int) -> RolloutPhase | None:
        """Returns the phase of an order, or None if it is unknown."""
        notice = self._phases.get(service)
        if notice is None or notice.order != order:
            return None
        return notice.phase

    def get_reports(self, service: str, order: int) -> list[CountReport]:
        """Returns the newest counts of each node for an order."""
        return [
            report
            for report in self._reports.values()
            if (report.service, report.order) == (service, order)
        ]

    def has_running(self) -> bool:
        """Returns whether a roll-out is not known to have ended."""
        return any(
            not notice.phase.is_terminal for notice in self._phases.values()
        )

    def list_readings(self) -> list[RolloutReading]:
        """Returns what the metrics show of each service's newest roll-out."""
        return [self._read(notice) for notice in self._phases.values()]

    def list_notices(self) -> list[Notice]:
        """Returns everything that a new neighbour has to know."""
        return [*self._phases.values(), *self._reports.values()]

    def merge(self, notice: Notice, source: str | None = None) -> bool:
        """Stores a notice of this node or a peer if it is news.

        Args:
            notice: The notice.
            source: The peer that sent it, or None.

        Returns:
            Whether it was news.
        """
        is_news = (
            self._merge_phase(notice)
            if isinstance(notice, PhaseNotice)
            else self._merge_report(notice)
        )
        if is_news:
            for listener in self._listeners:
                listener(notice, source)
        return is_news

    def _read(self, notice: PhaseNotice) -> RolloutReading:
        counts = VersionCounts.from_reports(
            report
            for report in self.get_reports(notice.service, notice.order)
            if report.version == notice.target_version
        )
        return RolloutReading(
            notice.service,
            notice.target_version,
            notice.phase,
            counts.count_responses(),
            counts.count_failures(),
        )

    def _merge_phase(self, notice: PhaseNotice) -> bool:
        current = self._phases.get(notice.service)
        if current is None:
            if len(self._phases) >= _MAX_SERVICES:
                return False
        elif not notice.supersedes(current):
            return False
        self._phases[notice.service] = notice
        self._drop_reports()
        return True

    def _merge_report(self, report: CountReport) -> bool:
        current = self._reports.get(report.key)
        if current is None:
            if len(self._reports) >= _MAX_REPORTS:
                return False
        elif report.sequence <= current.sequence:
            return False
        if (
            not self._is_running(report)
            or self._members.get(report.node_id) is None
        ):
            return False
        self._reports[report.key] = report
        return True

    def _is_running(self, report: CountReport) -> bool:
        """Returns whether a report may still be used for a decision."""
        notice = self._phases.get(report.service)
        return notice is None or (
            report.order >= notice.order
            and not (report.order == notice.order and notice.phase.is_terminal)
        )

    def _drop_reports(self) -> None:
        self._reports = {
            key: report
            for key, report in self._reports.items()
            if self._is_running(report)
        }
