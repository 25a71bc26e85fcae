"""Message that ends a streamed body."""

import msgspec


class BodyEnd(msgspec.Struct, array_like=True, tag="end", frozen=True):
    """Marks the end of a request's or response's body.

    Attributes:
        request_id: The id of the request that the body belongs to.
    """

    request_id: str
