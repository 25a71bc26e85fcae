"""A gateway's request for a key."""

import msgspec

from rhubarbpaddle.execution.claim_record import ClaimRecord


class ClaimRequest(msgspec.Struct, array_like=True, tag="claim", frozen=True):
    """Asks the owner of a partition to claim a key.

    Attributes:
        record: The claim; asking again with its claim id is harmless.
    """

    record: ClaimRecord
