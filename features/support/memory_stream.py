"""One end of an in-memory connection."""

import trio

from features.support.memory_pipe import MemoryPipe


class MemoryStream(trio.abc.HalfCloseableStream):
    """A stream over two pipes, one for each direction.

    Attributes:
        reset_on_close: Whether the peer gets an error in place of the end of
            the stream after `aclose`.
    """

    def __init__(self, outgoing: MemoryPipe, incoming: MemoryPipe) -> None:
        self.outgoing = outgoing
        self.incoming = incoming
        self.reset_on_close = False
        self._closed = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        if self._closed:
            raise trio.ClosedResourceError
        await self.outgoing.write(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        if self._closed:
            raise trio.ClosedResourceError
        return await self.incoming.read(max_bytes)

    async def send_eof(self) -> None:
        self.outgoing.end()
        await trio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        self._closed = True
        if self.reset_on_close:
            self.outgoing.abort()
        self.outgoing.end()
        self.incoming.abort()
        await trio.lowlevel.checkpoint()
