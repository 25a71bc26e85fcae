"""Message that denies a claim because another one holds the key."""

import msgspec

from rhubarbpaddle.execution.claim_held import ClaimHeld


class ClaimHeldResponse(
    msgspec.Struct, array_like=True, tag="held", frozen=True
):
    """Reports that another claim holds the key.

    Attributes:
        claim_id: The id of the requested claim.
        held: The state of the claim that holds the key.
    """

    claim_id: bytes
    held: ClaimHeld
