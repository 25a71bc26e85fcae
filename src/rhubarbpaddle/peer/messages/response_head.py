"""An upstream's answer on its way back to the gateway."""

import msgspec

from rhubarbpaddle.measuring import LoadReport


class ResponseHead(msgspec.Struct, array_like=True, tag="head", frozen=True):
    """The head of an answer, with its body if that is short.

    Attributes:
        request_id: The request that is answered.
        status: The HTTP status.
        headers: End-to-end headers, names in lower case.
        report: The load of the instance.
        body: The whole body, or None if it follows in parts.
        body_length: Bytes that follow, or None if that is not known.
    """

    request_id: str
    status: int
    headers: list[tuple[bytes, bytes]]
    report: LoadReport | None
    body: bytes | None
    body_length: int | None
