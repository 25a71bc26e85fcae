"""Message with a chunk of a streamed body."""

import msgspec


class BodyChunk(msgspec.Struct, array_like=True, tag="part", frozen=True):
    """Carries a chunk of a request's or response's body.

    Attributes:
        request_id: The id of the request that the body belongs to.
        content: The bytes, at least one.
    """

    request_id: str
    content: bytes
