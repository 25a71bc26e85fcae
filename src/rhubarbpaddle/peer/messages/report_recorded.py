"""Message that acknowledges a report."""

import msgspec


class ReportRecorded(
    msgspec.Struct, array_like=True, tag="recorded", frozen=True
):
    """Confirms that a claim's outcome or release is recorded in the log.

    Attributes:
        claim_id: The id of the claim.
    """

    claim_id: bytes
