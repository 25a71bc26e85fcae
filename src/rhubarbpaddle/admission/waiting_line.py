"""The requests that wait for one instance."""

import itertools
from collections.abc import Iterator

import trio

from rhubarbpaddle.admission.priority_line import PriorityLine
from rhubarbpaddle.admission.waiting_request import WaitingRequest


class WaitingLine:
    """Orders requests by what is lost if they wait."""

    def __init__(self) -> None:
        self._lines: dict[int, PriorityLine] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(map(len, self._lines.values()))

    def __iter__(self) -> Iterator[WaitingRequest]:
        return itertools.chain.from_iterable(self._lines.values())

    def make(
        self, priority: int, latest_start: float, work: float
    ) -> WaitingRequest:
        """Returns a request that comes behind its equals."""
        return WaitingRequest(
            priority,
            next(self._numbers),
            latest_start,
            work,
            trio.lowlevel.ParkingLot(),
        )

    def add(self, request: WaitingRequest) -> None:
        """Adds a request."""
        line = self._lines.setdefault(request.priority, PriorityLine())
        line.add(request)

    def remove(self, request: WaitingRequest) -> None:
        """Removes a request that no longer waits."""
        line = self._lines[request.priority]
        line.remove(request)
        if not line:
            del self._lines[request.priority]

    def count_ahead(self, request: WaitingRequest, now: float) -> int:
        """Returns how many will be served before a request."""
        rank = request.get_lasting_rank(now)
        return sum(other.get_lasting_rank(now) < rank for other in self)

    def count_late_ahead(self, request: WaitingRequest, now: float) -> int:
        """Returns how many late requests are served before a late one."""
        rank = request.get_lasting_rank(now)
        return sum(
            other.is_late(now) and other.get_lasting_rank(now) < rank
            for other in self
        )

    def get_first(self, now: float) -> WaitingRequest:
        """Returns the request whose turn it is.

        Raises:
            ValueError: Nobody waits.
        """
        return self._lines[min(self._lines)].get_first(now)

    def wake_first(self, now: float) -> None:
        """Resumes the task of the request whose turn it is.

        The others stay asleep: with hundreds of waiting requests, waking all
        at each end of a request takes more time than serving them.
        """
        if self._lines:
            self.get_first(now).turn.unpark_all()
