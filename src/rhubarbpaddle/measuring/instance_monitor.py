"""Keeps the newest reading of the instance beside a node."""

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.measuring.health_source import HealthSource
from rhubarbpaddle.measuring.instance_reading import InstanceReading

# Several times what a check takes under load (6 ms); a request that waits for
# a check must not lose much of its latency target.
CHECK_SECONDS = 0.05
# An instance that does not answer checks is not asked before each request.
_RETRY_SECONDS = 0.1


class InstanceMonitor:
    """Asks for a reading when the last one is too old to act on.

    The speed of an instance changes within about 100 ms, so that only a
    reading taken just before a request is sent tells how long it will run.

    Attributes:
        reading: The newest reading, or None before the first.
        refused: Whether the instance refused the last connection.
        checks: How many checks were sent.
    """

    def __init__(self, source: HealthSource, clock: Clock) -> None:
        self._source = source
        self._clock = clock
        self._taken_at = float("-inf")
        self._failed_at = float("-inf")
        self._running: trio.Event | None = None
        self.reading: InstanceReading | None = None
        self.refused = False
        self.checks = 0

    def note(self, reading: InstanceReading) -> None:
        """Takes the reading that came with an answer."""
        previous = self.reading
        if previous is not None:
            # An answer to a request names neither.
            if reading.instance is None:
                reading = reading._replace(instance=previous.instance)
            if reading.cold_seconds is None and previous.cold_seconds:
                left = previous.cold_seconds - self.get_age()
                reading = reading._replace(cold_seconds=max(0.0, left))
        self.reading = reading
        self._taken_at = self._clock.monotonic()
        self.refused = False

    def invalidate(self) -> None:
        """Makes the next `refresh` ask, as after a lost connection."""
        self._taken_at = float("-inf")
        self._failed_at = float("-inf")

    def get_age(self) -> float:
        """Returns the seconds since the newest reading was taken."""
        return self._clock.monotonic() - self._taken_at

    def get_pace(self, max_age: float) -> float:
        """Returns the pace, or 1.0 if no reading is recent enough."""
        if self.reading is None or self.get_age() > max_age:
            return 1.0
        return self.reading.pace

    async def refresh(self, max_age: float) -> None:
        """Waits for a reading unless there is a recent one.

        Args:
            max_age: Seconds that a reading may be old.
        """
        if self.get_age() <= max_age:
            return
        if self._clock.monotonic() - self._failed_at < _RETRY_SECONDS:
            return
        if self._running is not None:
            await self._running.wait()
            return
        self._running = trio.Event()
        try:
            await self._check()
        finally:
            self._running.set()
            self._running = None

    async def aclose(self) -> None:
        """Closes the source's connection."""
        await self._source.aclose()

    async def _check(self) -> None:
        self.checks += 1
        with trio.move_on_after(CHECK_SECONDS):
            try:
                reading = await self._source.check()
            except OSError:
                self.refused = True
            except RhubarbpaddleError:
                # A new connection at the next check shows whether it is gone.
                pass
            else:
                if reading is not None:
                    self.note(reading)
                    return
                self.refused = False
        self._failed_at = self._clock.monotonic()
