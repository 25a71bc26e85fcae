"""How a publication ended."""

from enum import Enum


class PublishOutcome(Enum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    LOST = "lost"
    UNKNOWN = "unknown"
