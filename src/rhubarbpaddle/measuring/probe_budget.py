"""What probing an upstream may cost."""

from typing import Self

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration import Service


class ProbeBudget:
    """A token bucket in seconds of the upstream's time.

    It fills at `share` seconds a second, holds at most the cost of one probe
    and starts empty, so that neither idle time nor a restart permits a burst.
    """

    def __init__(self, share: float, cost: float, clock: Clock) -> None:
        """Makes an empty budget.

        Args:
            share: The part of an upstream's time that probes may take, 0 to 1.
            cost: Seconds of the upstream's time that one probe takes.
            clock: The source of time.
        """
        self._share = share
        self._cost = cost
        self._clock = clock
        self._tokens = 0.0
        self._filled = clock.monotonic()

    @classmethod
    def from_config(cls, service: Service, clock: Clock) -> Self:
        """Makes the budget for an instance of a service."""
        return cls(
            service.probe_share, service.probe_cost.total_seconds(), clock
        )

    def try_spend(self) -> bool:
        """Takes the cost of one probe; returns whether it may be sent."""
        self._fill()
        if self._tokens < self._cost or self._share <= 0:
            return False
        self._tokens -= self._cost
        return True

    def settle(self, seconds: float) -> None:
        """Charges what a probe took beyond its stated cost.

        Args:
            seconds: The time that the probe took in the upstream.
        """
        self._fill()
        self._tokens -= max(0.0, seconds - self._cost)

    def get_delay(self) -> float:
        """Returns the seconds until a probe can be paid; infinite if never."""
        self._fill()
        if self._share <= 0:
            return float("inf")
        return max(0.0, self._cost - self._tokens) / self._share

    def _fill(self) -> None:
        now = self._clock.monotonic()
        earned = (now - self._filled) * self._share
        # Rounding must not leave a full bucket a hair short of one probe.
        self._tokens = min(self._cost, self._tokens + earned + 1e-12)
        self._filled = now
