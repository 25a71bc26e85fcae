"""Message that returns an upstream's response to the gateway."""

import msgspec

from rhubarbpaddle.measuring import LoadReport


class ResponseHead(msgspec.Struct, array_like=True, tag="head", frozen=True):
    """Carries the head of a response, and its body if that is short.

    Attributes:
        request_id: The id of the request.
        status: The HTTP status.
        headers: End-to-end headers, names in lower case.
        report: The load of the instance, or None if not known.
        body: The whole body, or None if it follows in chunks.
        body_length: Length of the body in bytes, or None if not known.
    """

    request_id: str
    status: int
    headers: list[tuple[bytes, bytes]]
    report: LoadReport | None
    body: bytes | None
    body_length: int | None
