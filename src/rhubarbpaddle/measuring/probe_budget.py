"""The limit on the cost of probing an upstream."""

from typing import Self

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.service import Service


class ProbeBudget:
    """A token bucket whose unit is a second of the upstream's time.

    It is refilled with `fraction` seconds per second, holds at most the cost
    of one probe and starts empty, so that neither idle time nor a restart
    permits a burst.
    """

    def __init__(self, fraction: float, cost: float, clock: Clock) -> None:
        """Creates an empty budget.

        Args:
            fraction: The fraction of an upstream's time that probes may take,
                0 to 1.
            cost: Seconds of the upstream's time that one probe takes.
            clock: The source of time.
        """
        self._fraction = fraction
        self._cost = cost
        self._clock = clock
        self._tokens = 0.0
        self._refilled_at = clock.monotonic()

    @classmethod
    def from_config(cls, service: Service, clock: Clock) -> Self:
        """Creates the budget for an instance of a service."""
        return cls(
            service.probe_share, service.probe_cost.total_seconds(), clock
        )

    def try_spend(self) -> bool:
        """Spends the cost of one probe; returns whether it may be sent."""
        self._refill()
        if self._tokens < self._cost or self._fraction <= 0:
            return False
        self._tokens -= self._cost
        return True

    def charge_excess(self, seconds: float) -> None:
        """Charges the time by which a probe exceeded its configured cost.

        Args:
            seconds: The time that the probe took in the upstream.
        """
        self._refill()
        self._tokens -= max(0.0, seconds - self._cost)

    def get_delay(self) -> float:
        """Returns the seconds until the next probe, or infinity if disabled."""
        self._refill()
        if self._fraction <= 0:
            return float("inf")
        return max(0.0, self._cost - self._tokens) / self._fraction

    def _refill(self) -> None:
        now = self._clock.monotonic()
        added = (now - self._refilled_at) * self._fraction
        # The addend keeps rounding errors from leaving a full bucket just below
        # the cost of one probe.
        self._tokens = min(self._cost, self._tokens + added + 1e-12)
        self._refilled_at = now
