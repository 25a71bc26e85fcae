"""One part of a route's traffic."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and its share of a route's requests.

    Attributes:
        service: The service's name.
        weight: The share in relation to the route's other parts, above 0.
    """

    service: str
    weight: float
