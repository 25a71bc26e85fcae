"""The newest reading of the instance beside a node."""

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.measuring.health_checker import HealthChecker
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.measuring.slowdown_baseline import SlowdownBaseline

# Several times the duration of a check under load (6 ms), but short enough that
# a request that waits for a check can still meet its latency target.
CHECK_TIMEOUT_SECONDS = 0.05
# Minimum time after a failed check until the next one, so that an instance that
# doesn't respond is not checked before each request.
_RETRY_DELAY_SECONDS = 0.1
# Only a health check reports that an instance has become cold if its responses
# contain no slowdown factor.
_MAX_COLD_TIME_AGE_SECONDS = 0.05


class InstanceMonitor:
    """Caches the newest reading of an instance and refreshes it when stale.

    The speed of an instance changes within about 100 ms, so only a reading
    taken just before a request is sent predicts how long it will run.

    Attributes:
        reading: The newest reading, or None before the first.
        refused: Whether the instance refused the last connection.
        checks: The number of checks sent.
    """

    def __init__(self, checker: HealthChecker, clock: Clock) -> None:
        self._checker = checker
        self._clock = clock
        self._read_at = float("-inf")
        self._failed_at = float("-inf")
        self._checked_at = float("-inf")
        self._running_check: trio.Event | None = None
        self._baseline = SlowdownBaseline()
        self.reading: InstanceReading | None = None
        self.refused = False
        self.checks = 0

    def record_reading(self, reading: InstanceReading) -> None:
        """Records a reading from a health check or a response to a request."""
        previous = self.reading
        if previous is not None:
            # A response to a request contains neither the instance's id nor its
            # remaining cold start time.
            if reading.instance is None:
                reading = reading._replace(instance=previous.instance)
            if reading.cold_seconds is None and previous.cold_seconds:
                remaining = previous.cold_seconds - self.get_age()
                reading = reading._replace(cold_seconds=max(0.0, remaining))
        self.reading = reading
        self._read_at = self._clock.monotonic()
        self._baseline.record(reading.slowdown, self._read_at)
        self.refused = False

    def invalidate(self) -> None:
        """Forces a check at the next `refresh`, as after a lost connection."""
        self._read_at = float("-inf")
        self._failed_at = float("-inf")
        self._checked_at = float("-inf")

    def get_age(self) -> float:
        """Returns the age of the newest reading in seconds."""
        return self._clock.monotonic() - self._read_at

    def get_slowdown(self, max_age: float) -> float:
        """Returns the slowdown factor, or 1.0 if no reading is recent enough.

        Args:
            max_age: The maximum age of the reading in seconds.
        """
        if self.reading is None or self.get_age() > max_age:
            return 1.0
        return self.reading.slowdown

    def get_lasting_factor(self) -> float:
        """Returns the slowdown factor if it has lasted for a while, or 1."""
        return self._baseline.get_lasting_factor(self._clock.monotonic())

    def get_cold_factor(self) -> float:
        """Returns how many times as long work takes during a cold start.

        The result is meaningful only while the instance is cold.
        """
        return self._baseline.get_cold_factor(self._clock.monotonic())

    async def refresh(self, max_age: float) -> None:
        """Checks the instance unless there is a recent reading.

        Concurrent callers share one check.

        Args:
            max_age: The maximum age of the reading in seconds.
        """
        if self._is_recent(max_age):
            return
        if self._clock.monotonic() - self._failed_at < _RETRY_DELAY_SECONDS:
            return
        if self._running_check is not None:
            await self._running_check.wait()
            return
        self._running_check = trio.Event()
        try:
            await self._check()
        finally:
            self._running_check.set()
            self._running_check = None

    def _is_recent(self, max_age: float) -> bool:
        reading = self.reading
        if reading is None or reading.has_slowdown or not max_age:
            return self.get_age() <= max_age
        age = self._clock.monotonic() - self._checked_at
        return age <= _MAX_COLD_TIME_AGE_SECONDS

    async def aclose(self) -> None:
        """Closes the connection for health checks."""
        await self._checker.aclose()

    async def _check(self) -> None:
        self.checks += 1
        with trio.move_on_after(CHECK_TIMEOUT_SECONDS):
            try:
                reading = await self._checker.check()
            except OSError:
                self.refused = True
            except RhubarbpaddleError:
                # The next check opens a new connection, which shows whether the
                # instance still runs.
                pass
            else:
                if reading is not None:
                    self.record_reading(reading)
                    self._checked_at = self._clock.monotonic()
                    return
                self.refused = False
        self._failed_at = self._clock.monotonic()
