"""A service that receives a fraction of a route's traffic."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route.

    Attributes:
        service: The service's name.
        weight: The weight relative to the route's other services, above 0.
    """

    service: str
    weight: float

    def __str__(self) -> str:
        return f"{self.service} ({self.weight:g})"
