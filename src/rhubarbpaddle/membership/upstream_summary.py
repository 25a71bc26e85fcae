"""What the node beside an upstream tells its peers of it."""

from typing import NamedTuple

from rhubarbpaddle.membership.upstream_state import UpstreamState


class UpstreamSummary(NamedTuple):
    """One instance of a service.

    Attributes:
        service: The service's name.
        instance: The instance's name, unique within the service.
        incarnation: Changes each time the upstream starts.
        state: Whether the instance takes work, and how much.
        slots: Requests that the instance can run at once.
    """

    service: str
    instance: str
    incarnation: int
    state: UpstreamState
    slots: int
