"""A rate limit for requests to a cold instance."""

from collections import deque

PERIOD_SECONDS = 1.0


class ColdStartRateLimit:
    """Limits the number of requests in any period of one second.

    Attributes:
        limit: Requests per second that the instance can sustain.
    """

    def __init__(self, limit: float) -> None:
        """Creates a rate limit with no requests recorded.

        Args:
            limit: Requests per second that the instance can sustain.
        """
        self.limit = limit
        self._sent_at: deque[float] = deque()

    def add(self, now: float) -> None:
        """Records a request that is sent now."""
        self._sent_at.append(now)

    def has_capacity(self, now: float) -> bool:
        """Returns whether one more request may be sent now."""
        while self._sent_at and self._sent_at[0] <= now - PERIOD_SECONDS:
            self._sent_at.popleft()
        return len(self._sent_at) < max(1.0, self.limit)
