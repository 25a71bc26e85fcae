"""The record of a claimed request's response."""

from typing import NamedTuple

from rhubarbpaddle.execution.request import Headers


class ClaimOutcome(NamedTuple):
    """A complete response to a claimed request.

    Attributes:
        key: The claim's key.
        claim_id: The claim.
        status: The HTTP status.
        headers: End-to-end headers, names in lower case.
        body: The whole body, or None if it was too large to keep.
    """

    key: bytes
    claim_id: bytes
    status: int
    headers: Headers
    body: bytes | None
