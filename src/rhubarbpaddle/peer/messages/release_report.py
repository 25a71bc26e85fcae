"""Message that releases a claim whose request did not run."""

import msgspec

from rhubarbpaddle.execution.claim_release import ClaimRelease


class ReleaseReport(
    msgspec.Struct, array_like=True, tag="release", frozen=True
):
    """Reports that a claimed request did not run and no attempt can follow.

    Attributes:
        record: The claim's release.
    """

    record: ClaimRelease
