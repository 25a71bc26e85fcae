"""The interface of a request or response body that is read in parts."""

from typing import Protocol

from rhubarbpaddle.execution.bytes_body import BytesBody


class Body(Protocol):
    """Streams the body of a request or response.

    Attributes:
        length: Total length in bytes, or None if it is unknown.
    """

    @property
    def length(self) -> int | None:
        """The body's total length in bytes, or None if it is unknown."""
        ...

    async def receive(self) -> bytes:
        """Returns the next part, or empty bytes at the end.

        Raises:
            TruncatedError: The body ended before it was complete.
        """
        ...


def rewind_body(body: Body) -> Body:
    """Returns the body for another attempt, rewound if it is in memory."""
    return BytesBody(body.content) if isinstance(body, BytesBody) else body
