"""What the ledger keeps of a key."""

import struct
from typing import NamedTuple, Self

_LAYOUT = struct.Struct(">16s16sQQqB")


class ClaimEntry(NamedTuple):
    """The claim that holds a key, or the last one that was released.

    Attributes:
        claim_id: The claim.
        fingerprint: Digest of the claimed request.
        deadline_ms: When the request can no longer run.
        expires_ms: When the entry may be forgotten.
        outcome_offset: Offset of the outcome's log record, or -1.
        released: Whether the claim was given back, so the key is free.
    """

    claim_id: bytes
    fingerprint: bytes
    deadline_ms: int
    expires_ms: int
    outcome_offset: int = -1
    released: bool = False

    def pack(self) -> bytes:
        """Returns 57 bytes; a tuple of objects takes several times more."""
        return _LAYOUT.pack(*self)

    @classmethod
    def unpack(cls, packed: bytes) -> Self:
        """Returns the entry that `pack` encoded."""
        claim_id, fingerprint, deadline, expires, offset, released = (
            _LAYOUT.unpack(packed)
        )
        return cls(
            claim_id, fingerprint, deadline, expires, offset, bool(released)
        )
