"""One direction of a connection in memory."""

from collections.abc import Callable
from typing import ClassVar

import trio

_CAPACITY = 1 << 16


class MemoryPipe:
    """Carries bytes one way; can be silenced and cut.

    Attributes:
        silenced: While True, written bytes disappear without an error.
        total_bytes: Bytes written to all pipes of the process.
        ended: Whether the writing side has ended the stream.
        broken: Whether both sides get errors.
    """

    total_bytes: ClassVar[int] = 0

    def __init__(self, is_blocked: Callable[[], bool]) -> None:
        self.silenced = False
        self._is_blocked = is_blocked
        self._buffer = bytearray()
        self.ended = False
        self.broken = False
        self._changed = trio.lowlevel.ParkingLot()

    def has_input(self) -> bool:
        """Returns whether a read would not wait."""
        return bool(self._buffer) or self.ended or self.broken

    async def write(self, data: bytes) -> None:
        """Writes bytes; waits while the buffer is full."""
        await trio.lowlevel.checkpoint()
        view = bytes(data)
        MemoryPipe.total_bytes += len(view)
        while view:
            if self.broken or self.ended:
                raise trio.BrokenResourceError
            if self.silenced or self._is_blocked():
                self.silenced = True
                return
            room = _CAPACITY - len(self._buffer)
            if room <= 0:
                await self._changed.park()
                continue
            self._buffer += view[:room]
            view = view[room:]
            self._changed.unpark_all()

    def try_write(self, data: bytes) -> bool:
        """Writes bytes if there is room; returns False if it is broken."""
        if self.broken or self.ended:
            return False
        if self.silenced or self._is_blocked():
            self.silenced = True
        elif len(self._buffer) + len(data) <= _CAPACITY:
            self._buffer += data
            self._changed.unpark_all()
        return True

    async def read(self, limit: int | None) -> bytes:
        """Reads bytes; no bytes at the end of the stream."""
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

    def end(self) -> None:
        """Ends the stream unless it is silenced."""
        if not (self.silenced or self._is_blocked()):
            self.ended = True
            self._changed.unpark_all()

    def cut(self) -> None:
        """Breaks the stream at both sides."""
        self.broken = True
        self._changed.unpark_all()
