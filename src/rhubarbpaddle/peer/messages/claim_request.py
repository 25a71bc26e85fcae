"""Message that claims a key."""

import msgspec

from rhubarbpaddle.execution.claim_record import ClaimRecord


class ClaimRequest(msgspec.Struct, array_like=True, tag="claim", frozen=True):
    """Claims a key at the owner of its partition.

    Attributes:
        record: The claim; repeating a request with the same claim id has no
            further effect.
    """

    record: ClaimRecord
