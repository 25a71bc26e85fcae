"""A body that is completely in memory."""


class BytesBody:
    """Returns a body that is completely in memory as one part."""

    def __init__(self, content: bytes) -> None:
        self.content = content
        self._rest = content

    @property
    def length(self) -> int | None:
        """The body's total length in bytes."""
        return len(self.content)

    def can_rewind(self) -> bool:
        """Returns True: the body stays in memory."""
        return True

    def rewind(self) -> None:
        """Starts again at the beginning."""
        self._rest = self.content

    async def receive(self) -> bytes:
        """Returns the whole content once, then empty bytes."""
        part, self._rest = self._rest, b""
        return part
