"""The state of a node that is exported as metrics."""

from collections.abc import Mapping
from typing import NamedTuple


class NodeReadings(NamedTuple):
    """A snapshot of node state, taken when metrics are scraped.

    Attributes:
        configuration_version: The version in force, or 0.
        configuration_age: Seconds since the log last confirmed that this
            version is the newest; None if never.
        log_lag: Records of the log that this node has not applied.
        members: Known members, including this node.
        service: The service of this node's upstream, or `-`.
        in_flight: Requests running on the upstream.
        queued: Requests queued for the upstream.
        limit: Requests that may currently run on the upstream at once.
        retries: Attempts made after one that may have run, by service.
    """

    configuration_version: int
    configuration_age: float | None
    log_lag: int
    members: int
    service: str
    in_flight: int
    queued: int
    limit: int
    retries: Mapping[str, int]
