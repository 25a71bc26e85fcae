"""A gateway's report of a response."""

import msgspec

from rhubarbpaddle.execution.claim_outcome import ClaimOutcome


class OutcomeReport(msgspec.Struct, array_like=True, tag="ran", frozen=True):
    """A claimed request got a complete response.

    Attributes:
        record: The response.
    """

    record: ClaimOutcome
