"""Makes the admission that a measurement is about."""

from typing import Protocol

from rhubarbpaddle.admission import Admission
from rhubarbpaddle.clock import Clock


class Factory(Protocol):
    """Makes an admission for a number of slots."""

    def __call__(
        self, slots: int, clock: Clock, *, baseline: float | None = None
    ) -> Admission:
        """Makes an admission.

        Args:
            slots: The hard limit.
            clock: The source of time.
            baseline: The warm latency in seconds, if it is known.
        """
        ...
