"""The result of a publication."""

from typing import NamedTuple

from rhubarbpaddle.cli.publish_outcome import PublishOutcome
from rhubarbpaddle.configuration.accepted_publication import AcceptedPublication


class PublishResult(NamedTuple):
    """The outcome of a publication, and which one was accepted.

    Attributes:
        outcome: Whether the publication was accepted.
        id: The publication's id.
        accepted: The publication accepted on the same base: this one, another
            one, or None if it is not known.
    """

    outcome: PublishOutcome
    id: str
    accepted: AcceptedPublication | None
