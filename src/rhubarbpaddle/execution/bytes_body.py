"""A body that is in memory."""


class BytesBody:
    """A body that is already in memory."""

    def __init__(self, content: bytes) -> None:
        self.content = content
        self._rest = content

    @property
    def length(self) -> int | None:
        """Bytes in all."""
        return len(self.content)

    async def receive(self) -> bytes:
        """Returns all bytes once, then none."""
        chunk, self._rest = self._rest, b""
        return chunk
