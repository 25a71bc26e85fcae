"""The response of the owner of an organisation's usage cap."""

from typing import NamedTuple

from rhubarbpaddle.usage.owner_role import OwnerRole


class UsageGrant(NamedTuple):
    """Grants tokens, or says when there will be one.

    Attributes:
        role: The role of the node that responds.
        granted: The number of tokens granted.
        wait: Seconds until a token is available; 0 if one is.
        usage_ratio: The organisation's recent requests at all nodes relative to
            its usage cap.
    """

    role: OwnerRole
    granted: int = 0
    wait: float = 0.0
    usage_ratio: float = 0.0
