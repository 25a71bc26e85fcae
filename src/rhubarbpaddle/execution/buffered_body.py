"""A request's body that was read for its fingerprint."""


class BufferedBody:
    """A body of at most 64 KiB in memory.

    It is not a `BytesBody`, because those are short enough to travel in the
    message of their head.
    """

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
