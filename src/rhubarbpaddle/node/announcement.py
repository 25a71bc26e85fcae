"""What an upstream says of itself."""

from typing import NamedTuple

from rhubarbpaddle.membership import UpstreamState


class Announcement(NamedTuple):
    """An upstream's announcement to the node beside it.

    Attributes:
        service: The service's name.
        instance: The instance's name, unique within the service.
        address: `IP:PORT` where the upstream takes requests.
        incarnation: Changes each time the upstream starts.
        state: `cold`, `warm` or `leaving`.
    """

    service: str
    instance: str
    address: str
    incarnation: int
    state: UpstreamState = UpstreamState.WARM
