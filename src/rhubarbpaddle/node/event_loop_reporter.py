"""Logs when the process's own event loop delays requests."""

from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.measuring import EventLoopLoad
from rhubarbpaddle.telemetry import get_logger

_REPORT_INTERVAL = timedelta(seconds=1)
# Below this fraction of idle time, runnable tasks have to wait for each other.
_MIN_IDLE_FRACTION = 0.2
# A large fraction of the 0.25 s within which nodes confirm calls.
_LONG_PASS_SECONDS = 0.05

_log = get_logger("node")


class EventLoopReporter:
    """Logs a line for each second in which the event loop was overloaded."""

    def __init__(self, load: EventLoopLoad, clock: Clock) -> None:
        self._load = load
        self._clock = clock

    async def run(self) -> None:
        """Reports until cancelled."""
        passes = self._load.passes
        while True:
            await self._clock.sleep(_REPORT_INTERVAL)
            longest_pass = self._load.get_and_reset_longest_pass()
            idle_fraction = self._load.idle_share
            if (
                idle_fraction < _MIN_IDLE_FRACTION
                or longest_pass > _LONG_PASS_SECONDS
            ):
                _log.notice(
                    "event_loop_busy",
                    idle_share=round(idle_fraction, 2),
                    longest_pass_ms=round(longest_pass * 1000),
                    passes=self._load.passes - passes,
                )
            passes = self._load.passes
