"""The owner's consent to a claim."""

import msgspec


class ClaimGranted(msgspec.Struct, array_like=True, tag="granted", frozen=True):
    """The claim holds its key.

    Attributes:
        claim_id: The claim.
    """

    claim_id: bytes
