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
        # While the instance is warm, `has_capacity` is not called.
        self._discard_old(now)
        self._sent_at.append(now)

    def assume_used_until(self, end: float) -> None:
        """Records that as many requests as permitted were sent until a time.

        Args:
            end: Monotonic seconds.
        """
        count = int(self.limit)
        self._sent_at = deque(
            end - PERIOD_SECONDS * (count - 1 - index) / count
            for index in range(count)
        )

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Returns the expected seconds until a request may be sent.

        Args:
            ahead: Requests that are sent before it, as soon as they may be.
            now: Monotonic seconds.
        """
        if self.has_capacity(now):
            free = int(max(1.0, self.limit)) - len(self._sent_at)
            ahead -= free
            if ahead < 0:
                return 0.0
        if ahead < len(self._sent_at):
            return self._sent_at[ahead] + PERIOD_SECONDS - now
        rounds = (ahead - len(self._sent_at)) / max(1.0, self.limit)
        return PERIOD_SECONDS + rounds

    def has_capacity(self, now: float) -> bool:
        """Returns whether one more request may be sent now."""
        self._discard_old(now)
        return len(self._sent_at) < max(1.0, self.limit)

    def _discard_old(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] <= now - PERIOD_SECONDS:
            self._sent_at.popleft()
