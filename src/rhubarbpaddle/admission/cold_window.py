"""A rate limit for requests to a cold instance."""

from collections import deque

WINDOW_SECONDS = 1.0


class ColdWindow:
    """Limits the number of requests in any period of one second."""

    def __init__(self, limit: float) -> None:
        """Creates a rate limit with no requests recorded.

        Args:
            limit: Requests per second that the instance can sustain.
        """
        self.limit = limit
        self._sent: deque[float] = deque()

    def add(self, now: float) -> None:
        """Records a request that is sent now."""
        self._sent.append(now)

    def has_room(self, now: float) -> bool:
        """Returns whether one more request may be sent now."""
        while self._sent and self._sent[0] <= now - WINDOW_SECONDS:
            self._sent.popleft()
        return len(self._sent) < max(1.0, self.limit)
