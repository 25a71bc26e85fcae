"""The owner's receipt for a report."""

import msgspec


class ReportRecorded(
    msgspec.Struct, array_like=True, tag="recorded", frozen=True
):
    """The report is in the log.

    Attributes:
        claim_id: The claim.
    """

    claim_id: bytes
