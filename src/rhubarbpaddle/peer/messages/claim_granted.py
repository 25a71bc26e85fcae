"""Message that grants a claim."""

import msgspec


class ClaimGranted(msgspec.Struct, array_like=True, tag="granted", frozen=True):
    """Confirms that the claim now holds its key.

    Attributes:
        claim_id: The id of the granted claim.
    """

    claim_id: bytes
