"""The state of a node as shown to operators."""

from typing import NamedTuple


class NodeStatus(NamedTuple):
    """The state of a node, its configuration and its upstream.

    Attributes:
        node_id: The node's name.
        availability_zone: The zone that its host is in.
        in_service: Whether that zone gets new requests.
        version: The configuration version in force, or 0 if there is none.
        digest: The SHA-256 digest of the text in force in hexadecimal, or the
            empty string.
        members: The admin addresses of all known members, by node id.
        configuration_age_seconds: Seconds since the log last confirmed the
            configuration; None if it never did.
        unverified: Whether the configuration comes from a peer and the log
            has not confirmed it yet.
        gap: Whether the log removed records before this node read them.
        lag: The number of log records that this node has not applied yet.
        service: The service of the upstream on the node's host, or `-`.
        instance: That upstream's name, or `-`.
        upstream_state: That upstream's state, or `-`.
        in_flight: The number of requests that the upstream is running.
        queued: The number of requests that wait for the upstream.
        limit: The current concurrency limit of the upstream, in requests.
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
