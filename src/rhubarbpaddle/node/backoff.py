"""Delays between attempts at something that fails."""

import random
from datetime import timedelta

_INITIAL_DELAY = timedelta(milliseconds=100)
# Nodes must notice the end of an outage well within the 8 s that a
# configuration has to be in force everywhere.
_MAX_DELAY = timedelta(seconds=4)


class Backoff:
    """Doubles the delay up to a limit, with jitter so that nodes spread."""

    def __init__(self, rng: random.Random, limit: timedelta = _MAX_DELAY) -> None:
        self._rng = rng
        self._max_delay = limit
        self._delay = _INITIAL_DELAY

    def next_delay(self) -> timedelta:
        """Returns how long to wait before the next attempt."""
        delay = self._delay
        self._delay = min(delay * 2, self._max_delay)
        return delay * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Starts again with the shortest delay, after a success."""
        self._delay = _INITIAL_DELAY
