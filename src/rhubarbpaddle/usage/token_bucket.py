"""A token bucket whose rate and capacity may change."""

import math

# Absorbs rounding when tokens are counted as whole numbers.
_EPSILON = 1e-9


class TokenBucket:
    """Holds tokens that arrive at a rate, up to a capacity.

    Attributes:
        level: The tokens at the time of the last refill.
        rate: Tokens per second.
        capacity: The most tokens that it holds.
        started_at: Monotonic seconds since when tokens have arrived.
    """

    def __init__(
        self, level: float, rate: float, capacity: float, now: float
    ) -> None:
        """Creates a bucket.

        Args:
            level: The tokens that it holds.
            rate: Tokens per second.
            capacity: The most tokens that it holds.
            now: Monotonic seconds from which on tokens arrive.
        """
        self.level = level
        self.rate = rate
        self.capacity = capacity
        self.started_at = now
        self._refilled_at = now

    def refill(self, now: float, rate: float, capacity: float) -> None:
        """Adds the tokens since the last refill and sets rate and capacity.

        The lower rate applies to the time since then, so that a change never
        adds tokens for a time before it.
        """
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        added = elapsed * min(self.rate, rate)
        self.rate, self.capacity = rate, capacity
        self.level = min(capacity, self.level + added)

    def restart(self, max_level: float, now: float) -> None:
        """Drops the tokens above a level and those since a time."""
        self.level = min(self.level, max_level)
        self.started_at = self._refilled_at = now

    def take(self, count: int) -> int:
        """Takes up to a number of tokens and returns how many."""
        taken = max(0, min(count, math.floor(self.level + _EPSILON)))
        self.level -= taken
        return taken

    def put_back(self, count: int) -> None:
        """Adds tokens that were taken and not used."""
        self.level = min(self.capacity, self.level + count)

    def limit_level(self, level: float) -> None:
        """Drops the tokens above a level."""
        self.level = min(self.level, level)

    def get_wait(self) -> float:
        """Returns the seconds until the bucket holds a token."""
        if self.level + _EPSILON >= 1:
            return 0.0
        return (1 - self.level) / self.rate if self.rate > 0 else math.inf
