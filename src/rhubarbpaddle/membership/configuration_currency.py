"""How long ago the configuration in force was known to be the newest."""

import math
from collections.abc import Callable

from rhubarbpaddle.clock import Clock


class ConfigurationCurrency:
    """Tracks when the configuration in force was last confirmed.

    A node that reads the store confirms it by each read. The others learn the
    age of the last confirmation from their neighbours' heartbeats, so that each
    link between a node and a reader adds at most one heartbeat interval.
    """

    def __init__(
        self, clock: Clock, may_be_needed: Callable[[], bool] = lambda: True
    ) -> None:
        """Creates an object that no confirmation has reached.

        Args:
            clock: The source of time.
            may_be_needed: Returns whether a neighbour may need to know the age
                of the last confirmation.
        """
        self._clock = clock
        self._may_be_needed = may_be_needed
        self._confirmed_at = -math.inf

    def confirm(self, age_seconds: float = 0.0) -> None:
        """Records that the configuration was the newest some time ago."""
        confirmed_at = self._clock.monotonic() - max(0.0, age_seconds)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def may_be_needed(self) -> bool:
        """Returns whether a neighbour may need to know the age."""
        return self._may_be_needed()

    def get_age(self) -> float:
        """Returns the seconds since the last confirmation, or infinity."""
        return self._clock.monotonic() - self._confirmed_at
