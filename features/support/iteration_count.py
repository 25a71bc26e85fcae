"""Counts events in each iteration of the event loop."""

import trio


class IterationCount(trio.abc.Instrument):
    """Counts iterations of the event loop, and events in each of them.

    Attributes:
        iterations: The number of iterations.
        most: The highest number of events in one of them.
    """

    def __init__(self) -> None:
        self.iterations = 0
        self.most = 0
        self._events = 0

    def add(self) -> None:
        self._events += 1
        self.most = max(self.most, self._events)

    def before_io_wait(self, timeout: float) -> None:
        self.iterations += 1
        self._events = 0
