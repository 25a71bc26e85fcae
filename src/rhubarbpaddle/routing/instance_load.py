"""A gateway's estimate of the load of one instance."""

import math

from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import UpstreamState, UpstreamSummary
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_health import InstanceHealth

# Maximum age of a reported limit. After it, the slots of the member's entry are
# used instead.
_MAX_LIMIT_AGE_SECONDS = 5.0


class InstanceLoad:
    """This node's requests in flight at an instance and its last report.

    Attributes:
        candidate: The instance.
        health: Decides whether the instance is ejected.
        in_flight: This node's requests in flight, an exact count.
        others_in_flight: Requests of other gateways at the last report.
    """

    def __init__(self, candidate: Candidate, upstream: UpstreamSummary) -> None:
        self.candidate = candidate
        self.health = InstanceHealth()
        self.in_flight = 0
        self.others_in_flight = 0.0
        self._upstream = upstream
        self._limit = 0
        self._reported_at = float("-inf")

    def update(self, candidate: Candidate, upstream: UpstreamSummary) -> None:
        """Applies a changed member entry of the same incarnation."""
        self.candidate = candidate
        self._upstream = upstream

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Records a report; called while its request counts as in flight."""
        total = report.in_flight + report.queued
        self.others_in_flight = float(max(0, total - self.in_flight))
        self._limit = report.limit
        self._reported_at = now

    def get_limit(self, now: float) -> int:
        """Returns how many requests the instance may run concurrently."""
        if self._limit and now - self._reported_at < _MAX_LIMIT_AGE_SECONDS:
            return self._limit
        if self._upstream.state is UpstreamState.COLD:
            return 1
        return self._upstream.slots

    def estimate_in_flight(
        self, mean: float, decay_seconds: float, now: float
    ) -> float:
        """Returns the estimated requests in flight of all gateways.

        The requests of other gateways decay from the last reported number to
        the mean of the service. An old report of a low load therefore attracts
        no more requests than a report of an average load.

        Args:
            mean: Mean number of other gateways' requests per unit of limit.
            decay_seconds: Time constant of the decay.
            now: Monotonic seconds.
        """
        expected = mean * self.get_limit(now)
        if decay_seconds <= 0:
            return self.in_flight + expected
        weight = math.exp((self._reported_at - now) / decay_seconds)
        return (
            self.in_flight
            + expected
            + weight * (self.others_in_flight - expected)
        )
