"""A body of which the first part has already been read."""

from rhubarbpaddle.execution.body import Body


class PrefixedBody:
    """Returns the part that was read, then the rest."""

    def __init__(self, prefix: bytes, rest: Body) -> None:
        self._prefix = prefix
        self._rest = rest

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        return self._rest.length

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end."""
        if self._prefix:
            prefix, self._prefix = self._prefix, b""
            return prefix
        return await self._rest.receive()
