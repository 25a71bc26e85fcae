"""What is known of the far side of a connection."""

from enum import Enum


class RemoteState(Enum):
    """Whether the far side still sends and receives.

    TCP reports a far side that is gone only after it has answered bytes of
    ours, so `HALF_CLOSED` includes one that is gone until something is sent.
    """

    OPEN = "open"
    HALF_CLOSED = "half-closed"
    CLOSED = "closed"
