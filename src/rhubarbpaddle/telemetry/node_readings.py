"""What a scrape reads from the node at that moment."""

from collections.abc import Mapping
from typing import NamedTuple


class NodeReadings(NamedTuple):
    """Values that the node holds anyway and that need no instrument.

    Attributes:
        configuration_version: The version in force, or 0.
        configuration_age: Seconds since the log confirmed it; None if never.
        log_lag: Records of the log that this node has not applied.
        members: Members known, this node included.
        service: The service of the upstream beside the node, or `-`.
        in_flight: Requests that the upstream runs.
        queued: Requests that wait for it.
        limit: Requests that it may run at once at present.
        retries: Tries after work that may have been done, by service.
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
