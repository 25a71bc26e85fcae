"""Exponential backoff between attempts."""

import random
from datetime import timedelta

_INITIAL_DELAY = timedelta(milliseconds=100)
# Nodes must detect the end of an outage well within the 8 s in which a new
# configuration has to be in force on all nodes.
_MAX_DELAY = timedelta(seconds=4)


class Backoff:
    """Doubles the delay up to a limit, with jitter to desynchronise nodes."""

    def __init__(
        self, rng: random.Random, max_delay: timedelta = _MAX_DELAY
    ) -> None:
        self._rng = rng
        self._max_delay = max_delay
        self._delay = _INITIAL_DELAY

    def next_delay(self) -> timedelta:
        """Returns the delay before the next attempt and increases it."""
        delay = self._delay
        self._delay = min(delay * 2, self._max_delay)
        return delay * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Resets the delay to its initial value after a success."""
        self._delay = _INITIAL_DELAY
