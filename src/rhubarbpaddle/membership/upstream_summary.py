"""The description of an upstream that a node sends to its peers."""

from typing import NamedTuple

from rhubarbpaddle.membership.upstream_state import UpstreamState


class UpstreamSummary(NamedTuple):
    """An instance of a service.

    Attributes:
        service: The service's name.
        instance: The instance's name, unique within the service.
        incarnation: A number that changes each time the upstream starts.
        state: Whether the instance accepts requests, and whether it is cold.
        slots: Requests that the instance can run concurrently.
        version: The version that the instance runs; `?` before its first
            report, empty if it reports none. Nodes of earlier releases omit it.
    """

    service: str
    instance: str
    incarnation: int
    state: UpstreamState
    slots: int
    version: str = ""
