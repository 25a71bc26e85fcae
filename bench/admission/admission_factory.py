"""The interface that creates the admission to measure."""

from typing import Protocol

from rhubarbpaddle.admission.admission import Admission
from rhubarbpaddle.clock import Clock


class AdmissionFactory(Protocol):
    """Creates an admission with a number of slots."""

    def __call__(
        self, slots: int, clock: Clock, *, baseline: float | None = None
    ) -> Admission:
        """Creates an admission.

        Args:
            slots: The maximum number of concurrent requests.
            clock: The clock.
            baseline: The latency of a warm upstream in seconds, if it is known.
        """
        ...
