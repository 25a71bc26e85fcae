"""The part that a node has in an organisation's usage cap."""

from enum import StrEnum


class OwnerRole(StrEnum):
    """The part that a node has in an organisation's usage cap.

    The `OWNER` grants the rate of the cap. A `SUBSTITUTE` was asked although it
    knows a node that precedes it, and grants a small part of the rate. A node
    that is shutting down, or has no contact with other nodes, is `NONE`.
    """

    OWNER = "owner"
    SUBSTITUTE = "substitute"
    NONE = "none"
