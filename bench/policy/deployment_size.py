"""The deployments of design section 1.1."""

from typing import NamedTuple


class Size(NamedTuple):
    """One service of a deployment; each node is a gateway.

    Attributes:
        name: The name in tables.
        zones: Availability zones, which nodes take in turn.
        one_way: Seconds between two zones.
        nodes: Nodes, of which the first ones have an upstream.
        instances: Upstreams of the service.
        slots: Slots of an upstream.
        work: Mean seconds of work of a request.
    """

    name: str
    zones: tuple[str, ...]
    one_way: float
    nodes: int
    instances: int
    slots: int
    work: float

    @property
    def capacity(self) -> float:
        """Requests per second that all instances serve."""
        return self.instances * self.slots / self.work


# The users state no time of work; 5 ms and 10 ms are assumptions.
SIZES = (
    Size(
        "pacifico", ("costa-a", "costa-b", "costa-c"), 0.0005, 12, 5, 6, 0.005
    ),
    Size("wibisono", ("semarang", "solo", "magelang"), 0.0015, 12, 5, 12, 0.01),
)
