"""A part of a body."""

import msgspec


class BodyPart(msgspec.Struct, array_like=True, tag="part", frozen=True):
    """Some bytes of a request's or response's body.

    Attributes:
        request_id: The request that the body belongs to.
        content: The bytes, at least one.
    """

    request_id: str
    content: bytes
