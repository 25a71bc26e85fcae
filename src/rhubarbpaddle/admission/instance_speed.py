"""The slowdown of an instance and how long it is likely to last."""

from rhubarbpaddle.admission.cold_start import ColdStart
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor

# An instance counts as slow at this slowdown factor: a request rarely meets its
# latency target if it starts while work takes at least twice as long as usual.
SLOWDOWN_THRESHOLD = 2.0
# Maximum age of a reading that still represents the current slowdown factor:
# slow periods last 100 ms or more.
MAX_READING_AGE_SECONDS = 0.025


class InstanceSpeed:
    """Decides whether an instance is slow, from its newest reading.

    The slowdown of a cold start doesn't count: it lasts longer than any request
    can wait, and the rate limit of the cold start applies instead.
    """

    def __init__(
        self, monitor: InstanceMonitor, cold_start: ColdStart, clock: Clock
    ) -> None:
        """Creates a view of an instance's readings.

        Args:
            monitor: Reads the instance's slowdown factor and remaining cold
                start time.
            cold_start: The instance's cold start, which each check updates.
            clock: The source of time.
        """
        self._monitor = monitor
        self._cold_start = cold_start
        self._clock = clock

    async def refresh(self, max_age: float) -> None:
        """Checks the instance unless there is a recent reading.

        Args:
            max_age: The maximum age of the reading in seconds.
        """
        await self._monitor.refresh(max_age)
        reading = self._monitor.reading
        if reading is not None and reading.cold_seconds is not None:
            remaining = reading.cold_seconds - self._monitor.get_age()
            self._cold_start.set_end(self._clock.monotonic() + remaining)

    def get_start_slowdown(self) -> float:
        """Returns the slowdown factor of a request that starts now."""
        return max(1.0, self._monitor.get_slowdown(MAX_READING_AGE_SECONDS * 2))

    def get_cold_factor(self, now: float) -> float:
        """Returns how many times as long work takes because of a cold start."""
        if self._cold_start.is_active(now):
            return self._monitor.get_cold_factor()
        return 1.0

    def get_relative_slowdown(
        self, now: float, max_age: float = MAX_READING_AGE_SECONDS * 2
    ) -> float:
        """Returns the slowdown factor without the part of a cold start.

        Args:
            now: Monotonic seconds.
            max_age: The maximum age of the reading in seconds; without a
                recent one the slowdown factor counts as 1.
        """
        slowdown = self._monitor.get_slowdown(max_age)
        return slowdown / self.get_cold_factor(now)

    def is_slow(self, now: float) -> bool:
        """Returns whether requests should wait until the instance is faster."""
        return self.get_relative_slowdown(now) >= SLOWDOWN_THRESHOLD

    def may_recover_soon(self, slowdown: float) -> bool:
        """Returns whether a slowdown is new, rather than a lasting one.

        Args:
            slowdown: The result of `get_relative_slowdown`.
        """
        lasting = self._monitor.get_lasting_factor()
        return slowdown >= SLOWDOWN_THRESHOLD * lasting

    def find_lasting_work(self, work: float, now: float) -> float | None:
        """Returns the seconds that work takes if only new slowdowns end.

        Args:
            work: The expected duration of the work in seconds.
            now: Monotonic seconds.

        Returns:
            The duration, or None during a cold start, whose slowdown `work`
            includes.
        """
        if self._cold_start.is_active(now):
            return None
        return work * self._monitor.get_lasting_factor()
