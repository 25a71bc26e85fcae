"""Message that reports the response to a claimed request."""

import msgspec

from rhubarbpaddle.execution.claim_outcome import ClaimOutcome


class OutcomeReport(msgspec.Struct, array_like=True, tag="ran", frozen=True):
    """Reports that a claimed request received a complete response.

    Attributes:
        record: The claim's outcome, with the response.
    """

    record: ClaimOutcome
