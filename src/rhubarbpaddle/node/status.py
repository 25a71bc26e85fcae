"""What a node tells operators of itself."""

from typing import NamedTuple


class NodeStatus(NamedTuple):
    """The state of one node.

    Attributes:
        node_id: The node's name.
        availability_zone: The zone that its host stands in.
        in_service: Whether that zone takes new work.
        version: The configuration version in force, or 0.
        digest: SHA-256 of the text in force, or the empty string.
        members: The node ids and admin addresses of all members known.
        service: The service of the upstream beside the node, or `-`.
        instance: That upstream's name, or `-`.
        upstream_state: That upstream's state, or `-`.
        in_flight: Requests that the upstream runs.
        queued: Requests that wait for it.
        limit: Requests that it may run at once at present.
    """

    node_id: str
    availability_zone: str
    in_service: bool
    version: int
    digest: str
    members: dict[str, str]
    service: str = "-"
    instance: str = "-"
    upstream_state: str = "-"
    in_flight: int = 0
    queued: int = 0
    limit: int = 0
