"""The sizes of the deployments in section 1.1 of the design page."""

from typing import NamedTuple


class DeploymentSize(NamedTuple):
    """The size of one service in a deployment; each node is a gateway.

    Attributes:
        name: The name in tables.
        zones: The availability zones, to which nodes are assigned in turn.
        cross_zone_seconds: The one-way delay between two zones in seconds.
        nodes: The number of nodes; the first ones have an upstream.
        instances: The number of upstreams of the service.
        slots: The number of slots of an upstream.
        mean_work_seconds: The mean work of a request in seconds.
    """

    name: str
    zones: tuple[str, ...]
    cross_zone_seconds: float
    nodes: int
    instances: int
    slots: int
    mean_work_seconds: float

    @property
    def capacity(self) -> float:
        """The requests per second that all instances can serve."""
        return self.instances * self.slots / self.mean_work_seconds


# The users do not state how long requests take; 5 ms and 10 ms are assumptions.
SIZES = (
    DeploymentSize(
        "pacifico", ("costa-a", "costa-b", "costa-c"), 0.0005, 12, 5, 6, 0.005
    ),
    DeploymentSize(
        "wibisono", ("semarang", "solo", "magelang"), 0.0015, 12, 5, 12, 0.01
    ),
)
