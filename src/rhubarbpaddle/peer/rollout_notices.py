"""The notices of roll-outs that a control link has to send."""

from collections.abc import Iterable, Iterator

from rhubarbpaddle.rollout.count_report import CountKey, CountReport
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.rollout_board import Notice

# Reports of typical length stay far below the frame limit.
_REPORTS_PER_MESSAGE = 200


class RolloutNotices:
    """Keeps the newest notice of each kind until it is sent."""

    def __init__(self, notices: Iterable[Notice]) -> None:
        """Creates a queue.

        Args:
            notices: What the neighbour has to know first.
        """
        self._phases: dict[str, PhaseNotice] = {}
        self._reports: dict[CountKey, CountReport] = {}
        for notice in notices:
            self.add(notice)

    def add(self, notice: Notice) -> None:
        """Adds a notice, which replaces an older one."""
        if isinstance(notice, PhaseNotice):
            self._phases[notice.service] = notice
        else:
            self._reports[notice.key] = notice

    def take_phases(self) -> tuple[PhaseNotice, ...]:
        """Removes and returns the phases."""
        phases, self._phases = tuple(self._phases.values()), {}
        return phases

    def take_reports(self) -> Iterator[tuple[CountReport, ...]]:
        """Removes the counts and returns them in groups for one message."""
        reports, self._reports = tuple(self._reports.values()), {}
        for start in range(0, len(reports), _REPORTS_PER_MESSAGE):
            yield reports[start : start + _REPORTS_PER_MESSAGE]
