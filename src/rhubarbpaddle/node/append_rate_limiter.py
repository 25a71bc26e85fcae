"""The rate at which a partition's owner appends."""

from datetime import timedelta

from rhubarbpaddle.clock import Clock

# The platform's log takes several hundred appends a second; 16 partitions
# make 400 at most. Claims that arrive in between share the next append.
APPENDS_PER_SECOND = 25.0
# A partition with little traffic is not delayed.
BURST_APPENDS = 10.0


class AppendRateLimiter:
    """A token bucket that waits instead of refusing."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = BURST_APPENDS
        self._updated = clock.monotonic()

    async def wait(self) -> None:
        """Waits until another append is due, and counts it."""
        now = self._clock.monotonic()
        refilled = (now - self._updated) * APPENDS_PER_SECOND
        self._tokens = min(self._tokens + refilled, BURST_APPENDS) - 1.0
        self._updated = now
        if self._tokens < 0:
            delay = -self._tokens / APPENDS_PER_SECOND
            await self._clock.sleep(timedelta(seconds=delay))
