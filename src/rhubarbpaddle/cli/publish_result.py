"""How a publication ended."""

from typing import NamedTuple

from rhubarbpaddle.cli.publish_outcome import PublishOutcome
from rhubarbpaddle.configuration import AcceptedPublication


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
