"""The queue of the requests of one priority and position."""

import math
from bisect import bisect_left, insort
from collections.abc import Iterator

from rhubarbpaddle.admission.queued_request import QueuedRequest

_Entry = tuple[float, int, QueuedRequest]


class PriorityLevelQueue:
    """Finds its first request without evaluating every request.

    Requests that can still meet their latency target keep their relative
    order as time passes, and so do late requests. Each group is therefore a
    sorted list. The first request of the queue is the first of one of the
    lists. A request moves to the other list only when it becomes late.
    """

    def __init__(self) -> None:
        self._on_time: list[_Entry] = []
        self._latest_starts: list[_Entry] = []
        self._late: list[_Entry] = []

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    def __iter__(self) -> Iterator[QueuedRequest]:
        for entries in (self._on_time, self._late):
            for *_, request in entries:
                yield request

    def add(self, request: QueuedRequest) -> None:
        """Adds a request."""
        insort(self._on_time, _by_urgency(request))
        insort(self._latest_starts, _by_latest_start(request))

    def remove(self, request: QueuedRequest) -> None:
        """Removes a request.

        Raises:
            ValueError: The request is not in the queue.
        """
        if _discard(self._latest_starts, _by_latest_start(request)):
            _discard(self._on_time, _by_urgency(request))
        elif not _discard(self._late, _by_work(request)):
            raise ValueError(f"request {request.number} is not queued")

    def get_first(self, now: float) -> QueuedRequest:
        """Returns the request to serve next; the queue must not be empty."""
        self._move_late(now)
        firsts = [
            entries[0][2] for entries in (self._on_time, self._late) if entries
        ]
        return min(firsts, key=lambda request: request.get_rank(now))

    def get_earliest_latest_start(self, now: float) -> float:
        """Returns the earliest latest start of the requests that aren't late.

        It is infinite if all of them are late.
        """
        self._move_late(now)
        return self._latest_starts[0][0] if self._latest_starts else math.inf

    def _move_late(self, now: float) -> None:
        while self._latest_starts and self._latest_starts[0][2].is_late(now):
            *_, request = self._latest_starts.pop(0)
            _discard(self._on_time, _by_urgency(request))
            insort(self._late, _by_work(request))


def _by_urgency(request: QueuedRequest) -> _Entry:
    return request.get_urgency_key(), request.number, request


def _by_latest_start(request: QueuedRequest) -> _Entry:
    return request.latest_start, request.number, request


def _by_work(request: QueuedRequest) -> _Entry:
    return request.work, request.number, request


def _discard(entries: list[_Entry], entry: _Entry) -> bool:
    """Removes an entry from a sorted list; returns whether it was there."""
    index = bisect_left(entries, entry[:2], key=lambda other: other[:2])
    if index == len(entries) or entries[index][1] != entry[1]:
        return False
    del entries[index]
    return True
