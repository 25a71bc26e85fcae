"""The log record that releases a claim."""

from typing import NamedTuple


class ClaimRelease(NamedTuple):
    """Releases a claim whose request did not run and never will.

    Attributes:
        key: 16-byte digest of organisation, service and idempotency key.
        claim_id: Identifies the claim.
    """

    key: bytes
    claim_id: bytes
