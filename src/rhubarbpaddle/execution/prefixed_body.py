"""A body whose first part has already been read."""

from rhubarbpaddle.execution.body import Body


class PrefixedBody:
    """Returns the part that was already read, then the rest of the body."""

    def __init__(self, prefix: bytes, rest: Body) -> None:
        self._prefix = prefix
        self._rest = rest

    @property
    def length(self) -> int | None:
        """The body's total length in bytes, or None if it is unknown."""
        return self._rest.length

    async def receive(self) -> bytes:
        """Returns the next part, or empty bytes at the end."""
        if self._prefix:
            prefix, self._prefix = self._prefix, b""
            return prefix
        return await self._rest.receive()
