"""A gateway's report that a claimed request did not run."""

import msgspec

from rhubarbpaddle.execution.claim_release import ClaimRelease


class ReleaseReport(
    msgspec.Struct, array_like=True, tag="release", frozen=True
):
    """A claimed request did not run, and no later try can start.

    Attributes:
        record: The claim.
    """

    record: ClaimRelease
