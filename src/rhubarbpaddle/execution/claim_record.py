"""The log record that claims a key."""

from typing import NamedTuple


class ClaimRecord(NamedTuple):
    """Claims a key; the first record of a key in log order holds it.

    Attributes:
        key: 16-byte digest of organisation, service and idempotency key.
        claim_id: 16 random bytes that identify this claim.
        fingerprint: 16-byte digest of the request.
        key_ms: Date of the key in ms since the epoch, or 0 if undated.
        deadline_ms: When the request can no longer run, in ms since the epoch.
        expires_ms: When the claim may be deleted, in ms since the epoch.
    """

    key: bytes
    claim_id: bytes
    fingerprint: bytes
    key_ms: int
    deadline_ms: int
    expires_ms: int
