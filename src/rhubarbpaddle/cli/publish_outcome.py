"""The outcomes of a publication."""

from enum import Enum


class PublishOutcome(Enum):
    """Whether a publication was accepted.

    `REJECTED` means that another publication on the same base was accepted
    first.
    """

    ACCEPTED = "accepted"
    REJECTED = "lost"
    UNKNOWN = "unknown"
