"""An instance that may get a request."""

from typing import NamedTuple


class Candidate(NamedTuple):
    """An instance and the node beside it.

    Attributes:
        node_id: The node beside the instance.
        peer_address: `IP:PORT` of that node's listener for other nodes.
        availability_zone: The zone that both stand in.
        service: The service's name.
        instance: The instance's name.
        incarnation: The upstream's incarnation that the choice rests on.
    """

    node_id: str
    peer_address: str
    availability_zone: str
    service: str
    instance: str
    incarnation: int
