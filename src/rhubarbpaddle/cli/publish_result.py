"""How a publication ended."""

from enum import Enum
from typing import NamedTuple

from rhubarbpaddle.configuration import AcceptedPublication


class PublishOutcome(Enum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    LOST = "lost"
    UNKNOWN = "unknown"


class PublishResult(NamedTuple):
    """The outcome and the publication that was accepted on the base.

    Attributes:
        outcome: What became of the publication.
        id: The publication's id.
        winner: The publication accepted on the same base: this one, another
            one, or None if that is not known.
    """

    outcome: PublishOutcome
    id: str
    winner: AcceptedPublication | None
