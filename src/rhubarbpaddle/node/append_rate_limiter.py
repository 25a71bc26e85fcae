"""Limits the rate of appends to a claim partition's stream."""

from datetime import timedelta

from rhubarbpaddle.clock import Clock

# The platform's log handles several hundred appends per second; 16 partitions
# make at most 400. Claims that arrive in between are grouped into the next
# append.
APPENDS_PER_SECOND = 25.0
# Keeps partitions with little traffic from being delayed.
BURST_APPENDS = 10.0


class AppendRateLimiter:
    """A token bucket that delays appends instead of rejecting them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = BURST_APPENDS
        self._updated_at = clock.monotonic()

    async def wait(self) -> None:
        """Takes a token for one append; waits until the token is available."""
        now = self._clock.monotonic()
        refilled = (now - self._updated_at) * APPENDS_PER_SECOND
        self._tokens = min(self._tokens + refilled, BURST_APPENDS) - 1.0
        self._updated_at = now
        if self._tokens < 0:
            delay = -self._tokens / APPENDS_PER_SECOND
            await self._clock.sleep(timedelta(seconds=delay))
