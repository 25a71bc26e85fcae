"""A request body that is kept while it is streamed."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Self

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.body_memory import BodyMemory

# Bodies up to this length can be sent again. The responses that are read
# completely before they are passed on have the same limit.
MAX_KEPT_BYTES = 64 * 1024


class KeptBody:
    """Streams a body and keeps a short one, so that it can be sent again.

    What was read is returned again after `rewind`, followed by the rest of the
    body.
    """

    def __init__(self, body: Body, memory: BodyMemory) -> None:
        self._body = body
        self._memory = memory
        self._content: bytearray | None = bytearray()
        self._position = 0
        self._is_read = False
        if body.length is not None and body.length > MAX_KEPT_BYTES:
            self._content = None

    @classmethod
    @contextmanager
    def keep(cls, body: Body, memory: BodyMemory) -> Iterator[Self]:
        """Keeps a body until the end of the context."""
        kept = cls(body, memory)
        try:
            yield kept
        finally:
            kept._discard()

    @property
    def length(self) -> int | None:
        """The body's total length in bytes, or None if it is unknown."""
        return self._body.length

    def can_rewind(self) -> bool:
        """Returns whether an attempt can send the whole body."""
        return not self._is_read or self._content is not None

    def rewind(self) -> None:
        """Starts again at the beginning.

        No other task may be reading the body, and `can_rewind` must be true.
        """
        assert self.can_rewind()
        self._position = 0

    async def receive(self) -> bytes:
        """Returns the next part, or empty bytes at the end.

        Raises:
            RhubarbpaddleError: The source of the body failed.
        """
        content = self._content
        if content is not None and self._position < len(content):
            part = bytes(content[self._position :])
            self._position = len(content)
            return part
        self._is_read = True
        part = await self._body.receive()
        if part and content is not None:
            self._append(content, part)
        return part

    def _append(self, content: bytearray, part: bytes) -> None:
        if len(content) + len(
            part
        ) > MAX_KEPT_BYTES or not self._memory.try_take(len(part)):
            self._discard()
            return
        content += part
        self._position = len(content)

    def _discard(self) -> None:
        if self._content is not None:
            self._memory.give_back(len(self._content))
            self._content = None
