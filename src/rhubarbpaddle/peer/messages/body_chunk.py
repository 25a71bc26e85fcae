"""Message with a part of a streamed body."""

import msgspec


class BodyPart(msgspec.Struct, array_like=True, tag="part", frozen=True):
    """Carries a part of a request's or response's body.

    Attributes:
        request_id: The id of the request that the body belongs to.
        content: The bytes, at least one.
    """

    request_id: str
    content: bytes
