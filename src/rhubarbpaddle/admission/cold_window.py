"""Counts what a cold instance got in the last second."""

from collections import deque

WINDOW_SECONDS = 1.0


class ColdWindow:
    """Bounds the requests in any span of one second."""

    def __init__(self, limit: float) -> None:
        """Makes an empty window.

        Args:
            limit: Requests that the instance can bear in a second.
        """
        self.limit = limit
        self._sent: deque[float] = deque()

    def add(self, now: float) -> None:
        """Notes a request that is sent now."""
        self._sent.append(now)

    def has_room(self, now: float) -> bool:
        """Returns whether one request more may be sent now."""
        while self._sent and self._sent[0] <= now - WINDOW_SECONDS:
            self._sent.popleft()
        return len(self._sent) < max(1.0, self.limit)
