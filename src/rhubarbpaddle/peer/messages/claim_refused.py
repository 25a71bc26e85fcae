"""Message that refuses a claim or a report."""

import msgspec

from rhubarbpaddle.outcome import Outcome


class ClaimRefused(msgspec.Struct, array_like=True, tag="claimno", frozen=True):
    """Reports that a claim or report failed or that its effect is unknown.

    Attributes:
        claim_id: The id of the claim.
        code: The stable error code.
        detail: A human-readable reason.
        status: The HTTP status for the caller.
        outcome: Whether the request is known not to have run.
        retry_after_ms: Milliseconds to wait before a retry.
    """

    claim_id: bytes
    code: str
    detail: str
    status: int
    outcome: Outcome
    retry_after_ms: int
