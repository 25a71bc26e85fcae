"""A request's body that was read into memory for its fingerprint."""


class BufferedBody:
    """Returns a buffered body of at most 64 KiB as one part.

    It is not a `BytesBody`, because a `BytesBody` is short enough to travel in
    the same peer message as the head of its request.
    """

    def __init__(self, content: bytes) -> None:
        self.content = content
        self._rest = content

    @property
    def length(self) -> int | None:
        """The body's total length in bytes."""
        return len(self.content)

    async def receive(self) -> bytes:
        """Returns the whole content once, then empty bytes."""
        part, self._rest = self._rest, b""
        return part
