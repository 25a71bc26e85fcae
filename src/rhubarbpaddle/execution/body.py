"""The body of a request or response, read in parts."""

from typing import Protocol

from rhubarbpaddle.execution.bytes_body import BytesBody


class Body(Protocol):
    """A body that arrives in parts.

    Attributes:
        length: Bytes in all, or None if this is not known beforehand.
    """

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        ...

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end.

        Raises:
            TruncatedError: The body ended before it was whole.
        """
        ...


def rewind_body(body: Body) -> Body:
    """Returns the body for another try, from its start if it is in memory."""
    return BytesBody(body.content) if isinstance(body, BytesBody) else body
