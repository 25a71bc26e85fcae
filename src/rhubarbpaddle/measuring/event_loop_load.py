"""The load of this process's event loop."""

import trio

from rhubarbpaddle.clock import Clock

# Long enough to average out single iterations, short enough to follow a burst.
_WINDOW_SECONDS = 0.1


class EventLoopLoad(trio.abc.Instrument):
    """Measures the iterations (passes) of trio's event loop.

    A pass runs each ready task once. A task that becomes ready waits for the
    end of the current pass, so the length of passes is the delay that this
    process adds to each step of a request.

    Attributes:
        idle_share: The fraction of the last window in which no task was ready,
            0 to 1.
        passes: The number of passes since `install`.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates a measurement; `install` starts it."""
        self._clock = clock
        self.idle_share = 1.0
        self.passes = 0
        self._longest_pass = 0.0
        self._window_start = 0.0
        self._pass_start = 0.0
        self._wait_start = 0.0
        self._idle_seconds = 0.0

    def install(self) -> None:
        """Starts to measure the event loop that runs the current task."""
        now = self._clock.monotonic()
        self._window_start = self._pass_start = self._wait_start = now
        trio.lowlevel.add_instrument(self)

    def get_and_reset_longest_pass(self) -> float:
        """Returns the longest pass since the last call, in seconds."""
        longest, self._longest_pass = self._longest_pass, 0.0
        return longest

    def before_io_wait(self, timeout: float) -> None:
        """Records the end of a pass; called by trio."""
        now = self._wait_start = self._clock.monotonic()
        self.passes += 1
        self._longest_pass = max(self._longest_pass, now - self._pass_start)

    def after_io_wait(self, timeout: float) -> None:
        """Records the start of a pass; called by trio."""
        now = self._pass_start = self._clock.monotonic()
        self._idle_seconds += now - self._wait_start
        elapsed = now - self._window_start
        if elapsed >= _WINDOW_SECONDS:
            self.idle_share = min(1.0, self._idle_seconds / elapsed)
            self._window_start = now
            self._idle_seconds = 0.0
