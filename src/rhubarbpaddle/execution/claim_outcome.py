"""The log record of a claimed request's response."""

from typing import NamedTuple

from rhubarbpaddle.execution.request import Headers


class ClaimOutcome(NamedTuple):
    """Records the complete response to a claimed request.

    Attributes:
        key: 16-byte digest of organisation, service and idempotency key.
        claim_id: Identifies the claim.
        status: The HTTP status.
        headers: End-to-end headers, with names in lower case.
        body: The complete body, or None if it was too large to store.
    """

    key: bytes
    claim_id: bytes
    status: int
    headers: Headers
    body: bytes | None
