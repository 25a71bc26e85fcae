"""The announcement by which an upstream registers with its node."""

from typing import NamedTuple

from rhubarbpaddle.membership import UpstreamState


class Announcement(NamedTuple):
    """An upstream's announcement of itself to the node on its host.

    Attributes:
        service: The service's name.
        instance: The instance's name, unique within the service.
        address: The `IP:PORT` on which the upstream accepts requests.
        incarnation: A number that changes each time the upstream starts.
        state: `cold`, `warm` or `leaving`.
    """

    service: str
    instance: str
    address: str
    incarnation: int
    state: UpstreamState = UpstreamState.WARM
