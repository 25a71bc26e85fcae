"""The requests that wait for one instance."""

import itertools
from typing import NamedTuple

import trio


class WaitingRequest(NamedTuple):
    """A request that waits.

    Attributes:
        priority: The rank of its route, 0 for the most urgent.
        number: Orders requests by arrival.
        latest_start: Monotonic seconds after which its answer will be late.
        turn: Where its task waits to become the first.
    """

    priority: int
    number: int
    latest_start: float
    turn: trio.lowlevel.ParkingLot


class WaitingLine:
    """Orders requests by urgency; those that will be late come last."""

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, priority: int, latest_start: float) -> WaitingRequest:
        """Adds a request behind its equals."""
        added = WaitingRequest(
            priority,
            next(self._numbers),
            latest_start,
            trio.lowlevel.ParkingLot(),
        )
        self._waiting.append(added)
        return added

    def remove(self, request: WaitingRequest) -> None:
        """Removes a request that no longer waits."""
        self._waiting.remove(request)

    def count_ahead(self, priority: int, now: float) -> int:
        """Returns how many would be served before a newcomer."""
        return sum(
            other.priority <= priority and other.latest_start >= now
            for other in self._waiting
        )

    def get_first(self, now: float) -> WaitingRequest:
        """Returns the request whose turn it is.

        Raises:
            ValueError: Nobody waits.
        """
        return min(
            self._waiting,
            key=lambda request: (
                request.latest_start < now,
                request.priority,
                request.number,
            ),
        )

    def wake_first(self, now: float) -> None:
        """Resumes the task of the request whose turn it is.

        The others stay asleep: with hundreds of waiting requests, waking all
        at each end of a request takes more time than serving them.
        """
        if self._waiting:
            self.get_first(now).turn.unpark_all()
