"""A response body whose first part is read before it is passed on."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Self

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.body_memory import BodyMemory

_MAX_PART_BYTES = 64 * 1024


class HeldBody:
    """Reads a body ahead into memory, and streams the rest.

    If reading ahead fails, no byte of the body has been passed on.

    Attributes:
        complete: Whether the body was read to its end.
        failed: Whether the source of the body failed before its end.
    """

    def __init__(self, body: Body, memory: BodyMemory) -> None:
        self.complete = False
        self.failed = False
        self._body = body
        self._memory = memory
        self._content = bytearray()
        self._received_bytes = 0
        self._taken_bytes = 0

    @classmethod
    @contextmanager
    def hold(cls, body: Body, memory: BodyMemory) -> Iterator[Self]:
        """Holds a body until the end of the context."""
        held = cls(body, memory)
        try:
            yield held
        finally:
            held._give_back(held._taken_bytes)

    @property
    def length(self) -> int | None:
        """The body's total length in bytes, or None if it is unknown."""
        return self._body.length

    async def read_ahead(
        self, max_bytes: int, until: float, clock: Clock
    ) -> None:
        """Reads the first part of the body.

        Ends early, but not before one part was read, if the memory is used up.

        Args:
            max_bytes: How much to read. The last part may exceed it.
            until: Monotonic time in seconds after which no further part is
                read ahead.
            clock: The source of time.

        Raises:
            RhubarbpaddleError: The source of the body failed.
        """
        while not self.complete and len(self._content) < max_bytes:
            if self._content and clock.monotonic() >= until:
                return
            part = await self._read()
            self._content += part
            if not self._memory.try_take(len(part)):
                return
            self._taken_bytes += len(part)

    async def receive(self) -> bytes:
        """Returns the next part, or empty bytes at the end.

        Raises:
            RhubarbpaddleError: The source of the body failed.
        """
        # The part that was returned before has been passed on.
        self._give_back(max(self._taken_bytes - len(self._content), 0))
        if self._content:
            part = bytes(self._content[:_MAX_PART_BYTES])
            del self._content[:_MAX_PART_BYTES]
            return part
        return await self._read()

    async def _read(self) -> bytes:
        if self.complete:
            return b""
        try:
            part = await self._body.receive()
        except RhubarbpaddleError:
            self.failed = True
            raise
        self._received_bytes += len(part)
        self.complete = not part or self._received_bytes == self._body.length
        return part

    def _give_back(self, size: int) -> None:
        self._taken_bytes -= size
        self._memory.give_back(size)
