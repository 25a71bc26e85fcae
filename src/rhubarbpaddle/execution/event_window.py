"""The events of a sliding window, counted by organisation."""

from collections import Counter, deque


class EventWindow:
    """Counts events since a given time, in total and by organisation.

    Events without an organisation count in the total only.
    """

    def __init__(self) -> None:
        self._times: deque[float] = deque()
        self._organisations: deque[str] = deque()
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._times)

    def add(self, now: float, organisation: str) -> None:
        """Adds an event, not earlier than those before."""
        self._times.append(now)
        self._organisations.append(organisation)
        if organisation:
            self._counts[organisation] += 1

    def count(self, organisation: str) -> int:
        """Returns the number of events of an organisation."""
        return self._counts[organisation]

    def discard_before(self, oldest: float) -> None:
        """Removes the events before a time."""
        while self._times and self._times[0] < oldest:
            self._times.popleft()
            organisation = self._organisations.popleft()
            if not organisation:
                continue
            self._counts[organisation] -= 1
            if not self._counts[organisation]:
                del self._counts[organisation]
