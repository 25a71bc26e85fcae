"""The owner's refusal of a claim or report."""

import msgspec

from rhubarbpaddle.outcome import Outcome


class ClaimRefused(msgspec.Struct, array_like=True, tag="claimno", frozen=True):
    """The claim or report was refused, or its effect can't be known.

    Attributes:
        claim_id: The claim that was asked for.
        code: The stable code of the refusal.
        detail: The reason, for a person.
        status: The HTTP status for the caller.
        outcome: Whether the request truly did not run.
        retry_after_ms: Milliseconds after which a retry makes sense.
    """

    claim_id: bytes
    code: str
    detail: str
    status: int
    outcome: Outcome
    retry_after_ms: int
