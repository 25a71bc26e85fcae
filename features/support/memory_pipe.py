"""One direction of an in-memory connection."""

from collections.abc import Callable
from typing import ClassVar

import trio

_CAPACITY_BYTES = 1 << 16


class MemoryPipe:
    """Carries bytes in one direction; can drop them or fail.

    Attributes:
        silenced: Whether written bytes are dropped without an error.
        held: Whether written bytes are delivered later, after `release`.
        total_bytes: The number of bytes written to all pipes of the process.
        ended: Whether the writer has ended the stream.
        broken: Whether reads and writes fail.
    """

    total_bytes: ClassVar[int] = 0

    def __init__(self, is_blocked: Callable[[], bool]) -> None:
        self.silenced = False
        self.held = False
        self._is_blocked = is_blocked
        self._buffer = bytearray()
        self.ended = False
        self.broken = False
        self._changed = trio.lowlevel.ParkingLot()

    def has_input(self) -> bool:
        """Returns whether a read would not wait."""
        received = bool(self._buffer) and not self.held
        return received or self.ended or self.broken

    async def write(self, data: bytes) -> None:
        """Writes bytes; waits while the buffer is full."""
        await trio.lowlevel.checkpoint()
        remaining = bytes(data)
        MemoryPipe.total_bytes += len(remaining)
        while remaining:
            if self.broken or self.ended:
                raise trio.BrokenResourceError
            if self.silenced or self._is_blocked():
                self.silenced = True
                return
            free_bytes = _CAPACITY_BYTES - len(self._buffer)
            if free_bytes <= 0:
                await self._changed.park()
                continue
            self._buffer += remaining[:free_bytes]
            remaining = remaining[free_bytes:]
            self._changed.unpark_all()

    def try_write(self, data: bytes) -> bool:
        """Writes bytes without waiting, or drops them if the buffer is full.

        Returns:
            False if the stream has ended or is broken.
        """
        if self.broken or self.ended:
            return False
        if self.silenced or self._is_blocked():
            self.silenced = True
        elif len(self._buffer) + len(data) <= _CAPACITY_BYTES:
            self._buffer += data
            self._changed.unpark_all()
        return True

    async def read(self, limit: int | None) -> bytes:
        """Waits for bytes and returns them; empty at the end of the stream.

        Args:
            limit: The maximum number of bytes, or None for all.
        """
        await trio.lowlevel.checkpoint()
        while not self.has_input():
            await self._changed.park()
        if self.broken:
            raise trio.BrokenResourceError
        count = len(self._buffer) if limit is None else limit
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        self._changed.unpark_all()
        return data

    def release(self) -> None:
        """Delivers the bytes that were held."""
        self.held = False
        self._changed.unpark_all()

    def end(self) -> None:
        """Ends the stream; has no effect if it is silenced."""
        if not (self.silenced or self._is_blocked()):
            self.ended = True
            self._changed.unpark_all()

    def abort(self) -> None:
        """Makes reads and writes fail from now on."""
        self.broken = True
        self._changed.unpark_all()
