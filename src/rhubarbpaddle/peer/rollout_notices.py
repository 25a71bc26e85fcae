"""The notices of roll-outs that a control link has to send."""

from collections.abc import Iterable, Iterator

from rhubarbpaddle.peer.messages import MemberUpdate
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

    def take(self) -> Iterator[MemberUpdate]:
        """Returns messages with all notices and empties the queue."""
        phases, self._phases = tuple(self._phases.values()), {}
        reports, self._reports = tuple(self._reports.values()), {}
        if phases:
            yield MemberUpdate((), rollout_phases=phases)
        for start in range(0, len(reports), _REPORTS_PER_MESSAGE):
            batch = reports[start : start + _REPORTS_PER_MESSAGE]
            yield MemberUpdate((), rollout_counts=batch)
