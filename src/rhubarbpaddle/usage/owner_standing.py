"""A node's standing with regard to an organisation's usage cap."""

from typing import NamedTuple

from rhubarbpaddle.usage.owner_role import OwnerRole


class OwnerStanding(NamedTuple):
    """A node's standing with regard to an organisation's usage cap.

    Attributes:
        role: The node's role.
        share: The fraction of the rate that it may grant as the owner: the part
            of the fleet that it reaches.
        since: Monotonic seconds since when no other node can have been the
            owner, as far as this node knows.
    """

    role: OwnerRole
    share: float = 0.0
    since: float = 0.0
