"""The claim ledger's entry for a key."""

import struct
from typing import NamedTuple, Self

_LAYOUT = struct.Struct(">16s16sQQqB")


class ClaimEntry(NamedTuple):
    """Describes the claim that holds a key, or its last released claim.

    Attributes:
        claim_id: Identifies the claim.
        fingerprint: Digest of the claimed request.
        deadline_ms: When the request can no longer run, in ms since the epoch.
        expires_ms: When the entry may be deleted, in ms since the epoch.
        outcome_offset: Offset of the log record that contains the outcome, or
            -1 while there is none.
        released: Whether the claim was released, so that the key is free.
    """

    claim_id: bytes
    fingerprint: bytes
    deadline_ms: int
    expires_ms: int
    outcome_offset: int = -1
    released: bool = False

    def pack(self) -> bytes:
        """Encodes the entry as 57 bytes.

        The ledger stores entries in this form, because a tuple of objects
        takes several times more memory.
        """
        return _LAYOUT.pack(*self)

    @classmethod
    def unpack(cls, packed: bytes) -> Self:
        """Decodes an entry that `pack` encoded."""
        claim_id, fingerprint, deadline, expires, offset, released = (
            _LAYOUT.unpack(packed)
        )
        return cls(
            claim_id, fingerprint, deadline, expires, offset, bool(released)
        )
