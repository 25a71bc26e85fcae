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
        configuration_age_seconds: Seconds since the log confirmed the
            configuration; None if it never did.
        unverified: Whether the configuration comes from a peer and the log
            has not confirmed it yet.
        gap: Whether the log lost records before this node read them.
        lag: How many records of the log this node has not applied.
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
    configuration_age_seconds: float | None = None
    unverified: bool = False
    gap: bool = False
    lag: int = 0
    service: str = "-"
    instance: str = "-"
    upstream_state: str = "-"
    in_flight: int = 0
    queued: int = 0
    limit: int = 0
