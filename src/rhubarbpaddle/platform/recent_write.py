"""When this node last wrote a key to the store."""

import math
from datetime import timedelta

from rhubarbpaddle.clock import Clock

# Copies from which the store comes back are some seconds old, and a node
# without links hears of it only once it has some again.
_MAX_COPY_AGE = timedelta(minutes=1)


class RecentWrite:
    """Determines whether a store that came back may lack a write."""

    def __init__(self, clock: Clock) -> None:
        """Creates the record of a key that was not written.

        Args:
            clock: The source of time.
        """
        self._clock = clock
        self._written_at = -math.inf

    def record(self) -> None:
        """Records that the store has acknowledged a write now."""
        self._written_at = self._clock.monotonic()

    def may_be_lost(self) -> bool:
        """Returns whether the last write is newer than the copy may be."""
        age = self._clock.monotonic() - self._written_at
        return age <= _MAX_COPY_AGE.total_seconds()
