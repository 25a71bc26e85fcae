"""The end of a body."""

import msgspec


class BodyEnd(msgspec.Struct, array_like=True, tag="end", frozen=True):
    """The body is whole.

    Attributes:
        request_id: The request that the body belongs to.
    """

    request_id: str
