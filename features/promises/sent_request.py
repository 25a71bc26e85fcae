"""A request that a caller has sent."""

from dataclasses import dataclass

NOT_RUN = "not-run"
UNKNOWN = "unknown"


@dataclass
class SentRequest:
    """What a caller sent and what it was told.

    Attributes:
        marker: Names the work; sent again, a request keeps its marker.
        service: The service that it is for.
        method: The HTTP method.
        key: The idempotency key, or the empty string.
        status: The HTTP status, or 0 if the connection was lost.
        outcome: `not-run`, `unknown`, or the empty string for an answer.
        body: What came back.
    """

    marker: str
    service: str
    method: str
    key: str
    status: int = 0
    outcome: str = UNKNOWN
    body: bytes = b""
