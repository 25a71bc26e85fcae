"""Message that claims a key."""

import msgspec

from rhubarbpaddle.execution.claim_record import ClaimRecord


class ClaimRequest(msgspec.Struct, array_like=True, tag="claim", frozen=True):
    """Asks the owner of a partition to claim a key.

    Attributes:
        record: The claim; repeating a request with the same claim id has no
            further effect.
    """

    record: ClaimRecord
