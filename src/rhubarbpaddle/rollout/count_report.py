"""The counts of the instance beside one node, which nodes pass on."""

from typing import NamedTuple

from rhubarbpaddle.rollout.route_counts import RouteCounts

CountKey = tuple[str, int, str, int, str]


class CountReport(NamedTuple):
    """What the node beside an instance has counted during a roll-out.

    Attributes:
        node_id: The node.
        incarnation: Microseconds since the epoch at the node's start.
        sequence: Incremented with each report of the node.
        service: The service of the instance.
        order: The number of the order.
        version: The version of the instance.
        availability_zone: The zone of the node.
        routes: The counts of each route; they never decrease.
    """

    node_id: str
    incarnation: int
    sequence: int
    service: str
    order: int
    version: str
    availability_zone: str
    routes: tuple[RouteCounts, ...]

    @property
    def key(self) -> CountKey:
        """Identifies the reports that replace each other."""
        return (
            self.node_id,
            self.incarnation,
            self.service,
            self.order,
            self.version,
        )
