"""The state of the remote side of a connection."""

from enum import Enum


class RemoteState(Enum):
    """Whether the remote side still sends and receives.

    TCP reports that the remote side has disconnected only after it has
    responded to bytes from this side, so until something is sent,
    `HALF_CLOSED` includes remote sides that have disconnected.
    """

    OPEN = "open"
    HALF_CLOSED = "half-closed"
    CLOSED = "closed"
