"""The requests of one priority that wait for an instance."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from rhubarbpaddle.admission.waiting_request import WaitingRequest

_Entry = tuple[float, int, WaitingRequest]


class PriorityLine:
    """Finds the first of its requests without a look at each.

    The order among requests that can still be in time does not change with
    time, nor does the order among late ones. So the first of all is the first
    of either, and a request changes over once, when it becomes late.
    """

    def __init__(self) -> None:
        self._in_time: list[_Entry] = []
        self._latest_starts: list[_Entry] = []
        self._late: list[_Entry] = []

    def __len__(self) -> int:
        return len(self._in_time) + len(self._late)

    def __iter__(self) -> Iterator[WaitingRequest]:
        for entries in (self._in_time, self._late):
            for *_, request in entries:
                yield request

    def add(self, request: WaitingRequest) -> None:
        """Adds a request."""
        insort(self._in_time, _by_urgency(request))
        insort(self._latest_starts, _by_latest_start(request))

    def remove(self, request: WaitingRequest) -> None:
        """Removes a request.

        Raises:
            ValueError: It does not wait.
        """
        if _discard(self._latest_starts, _by_latest_start(request)):
            _discard(self._in_time, _by_urgency(request))
        elif not _discard(self._late, _by_work(request)):
            raise ValueError(f"request {request.number} does not wait")

    def get_first(self, now: float) -> WaitingRequest:
        """Returns the request whose turn it is; the line must not be empty."""
        self._move_late(now)
        firsts = [
            entries[0][2] for entries in (self._in_time, self._late) if entries
        ]
        return min(firsts, key=lambda request: request.get_rank(now))

    def _move_late(self, now: float) -> None:
        while self._latest_starts and self._latest_starts[0][2].is_late(now):
            *_, request = self._latest_starts.pop(0)
            _discard(self._in_time, _by_urgency(request))
            insort(self._late, _by_work(request))


def _by_urgency(request: WaitingRequest) -> _Entry:
    return request.get_urgency_key(), request.number, request


def _by_latest_start(request: WaitingRequest) -> _Entry:
    return request.latest_start, request.number, request


def _by_work(request: WaitingRequest) -> _Entry:
    return request.work, request.number, request


def _discard(entries: list[_Entry], entry: _Entry) -> bool:
    """Removes an entry from a sorted list; returns whether it was there."""
    index = bisect_left(entries, entry[:2], key=lambda other: other[:2])
    if index == len(entries) or entries[index][1] != entry[1]:
        return False
    del entries[index]
    return True
