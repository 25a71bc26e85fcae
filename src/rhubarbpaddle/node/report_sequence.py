"""The order of the reports of the instance on this host."""

from collections.abc import Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.node.instance_boot import compute_incarnation
from rhubarbpaddle.node.instance_report import InstanceReport
from rhubarbpaddle.node.report_plausibility import find_report_problem
from rhubarbpaddle.telemetry import get_logger

_log = get_logger("instance")


class ReportSequence:
    """Decides whether a report can be true and is the newest so far."""

    def __init__(self, get_service: Callable[[], str], clock: Clock) -> None:
        """Creates a sequence without reports.

        Args:
            get_service: Returns the service of the instance on this host.
            clock: The source of time.
        """
        self._get_service = get_service
        self._clock = clock
        self._newest_key: tuple[int, int] = (0, 0)
        self._newest_at = 0.0

    def get_age(self) -> float:
        """Returns the seconds since the newest report arrived."""
        return self._clock.monotonic() - self._newest_at

    def accept(self, report: InstanceReport) -> bool:
        """Records a report unless a newer one has arrived.

        Returns:
            Whether the report was the newest; an outdated one is ignored.

        Raises:
            ProtocolError: The report can't be true, or is of another instance
                than the one on this host.
        """
        now = self._clock.monotonic()
        problem = find_report_problem(
            report,
            self._get_service(),
            self._newest_key,
            int((now - self._newest_at) * 1000),
            compute_incarnation(self._clock.now()),
        )
        if problem is not None:
            raise ProtocolError(
                problem, step="read_report", peer=report.instance
            )
        key = (report.incarnation, report.sequence)
        if key <= self._newest_key:
            _log.info(
                "report_outdated",
                instance=report.instance,
                incarnation=report.incarnation,
                sequence=report.sequence,
                newest=self._newest_key,
            )
            return False
        self._newest_key = key
        self._newest_at = now
        return True
