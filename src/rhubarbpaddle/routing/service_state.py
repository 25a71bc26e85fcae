"""A gateway's routing state of one service."""

from collections.abc import Mapping
from statistics import median

from rhubarbpaddle.configuration.availability_zone import AvailabilityZone
from rhubarbpaddle.routing.instance_load import InstanceLoad
from rhubarbpaddle.routing.zone_round_trips import ZoneRoundTrips

# The availability zones of the configuration and the index's version.
PoolKey = tuple[Mapping[str, AvailabilityZone], int]

# How long the computed median latency is reused.
_MEDIAN_MAX_AGE_SECONDS = 0.005
# Weight of the newest report in `mean_others_in_flight`.
_OTHERS_WEIGHT = 0.05


class ServiceState:
    """The instances that a gateway uses for a service, and their averages.

    Attributes:
        pool: The subset of instances that this gateway uses.
        pool_key: The inputs that the pool was computed from.
        round_trips: Round-trip times to the zones.
        mean_others_in_flight: Moving average of other gateways' requests per
            unit of an instance's limit.
    """

    def __init__(self, own_zone: str) -> None:
        self.pool: list[InstanceLoad] = []
        self.pool_key: PoolKey | None = None
        self.round_trips = ZoneRoundTrips(own_zone)
        self.mean_others_in_flight = 0.0
        self._median = 0.0
        self._median_computed_at = float("-inf")

    def observe_others_in_flight(self, ratio: float) -> None:
        """Updates `mean_others_in_flight` with one load report.

        Args:
            ratio: Requests of other gateways per unit of the reported limit.
        """
        self.mean_others_in_flight += _OTHERS_WEIGHT * (
            ratio - self.mean_others_in_flight
        )

    def get_median(self, now: float) -> float:
        """Returns the median latency in seconds, or 0 if it is unknown."""
        if now - self._median_computed_at >= _MEDIAN_MAX_AGE_SECONDS:
            latencies = [
                load.health.latency
                for load in self.pool
                if load.health.latency is not None
            ]
            if latencies:
                self._median = median(latencies)
            self._median_computed_at = now
        return self._median
