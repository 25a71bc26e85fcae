"""A request that a caller sent, and the response to it."""

from dataclasses import dataclass

NOT_RUN = "not-run"
UNKNOWN = "unknown"


@dataclass
class SentRequest:
    """Records a request and the response that its caller received.

    Attributes:
        marker: Identifies the request; each copy that is sent has the same
            marker.
        service: The service that it is for.
        method: The HTTP method.
        key: The idempotency key, or the empty string.
        status: The HTTP status, or 0 if the connection was lost.
        outcome: `not-run` or `unknown`, or the empty string if the response
            does not state an outcome.
        body: The response's body.
    """

    marker: str
    service: str
    method: str
    key: str
    status: int = 0
    outcome: str = UNKNOWN
    body: bytes = b""
