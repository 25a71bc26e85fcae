"""The owner's answer to a claim that came second."""

import msgspec

from rhubarbpaddle.execution.claim_held import ClaimHeld


class ClaimHeldAnswer(msgspec.Struct, array_like=True, tag="held", frozen=True):
    """Another claim holds the key.

    Attributes:
        claim_id: The claim that was asked for.
        held: What is known of the other one.
    """

    claim_id: bytes
    held: ClaimHeld
