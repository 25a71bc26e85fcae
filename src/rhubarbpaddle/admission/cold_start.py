"""The cold start of an instance."""

from rhubarbpaddle.admission.cold_start_rate_limit import ColdStartRateLimit


class ColdStart:
    """Decides whether a cold instance can accept one more request.

    Attributes:
        rate_limit: The rate limit during the cold start. It also counts the
            requests outside of it, as the instance may restart at any time.
    """

    def __init__(self, rate: float) -> None:
        """Creates the state of an instance that has reported no cold start.

        Args:
            rate: Requests per second that the instance can sustain while cold.
        """
        self.rate_limit = ColdStartRateLimit(rate)
        self._until = float("-inf")

    def set_end(self, end: float) -> None:
        """Sets when the cold start ends, in monotonic seconds."""
        self._until = end

    def is_active(self, now: float) -> bool:
        """Returns whether the instance is in its cold start."""
        return now < self._until

    def has_capacity(self, now: float) -> bool:
        """Returns whether the cold start permits one more request now."""
        return not self.is_active(now) or self.rate_limit.has_capacity(now)

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Returns the expected seconds until the cold start permits a request.

        Args:
            ahead: Requests that are sent before it, as soon as they may be.
            now: Monotonic seconds.
        """
        if not self.is_active(now):
            return 0.0
        wait = self.rate_limit.estimate_wait(ahead, now)
        return min(wait, self._until - now)
