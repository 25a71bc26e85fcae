"""A loopback proxy that harms the connections through it."""

import math
import socket
import struct

import trio

_CHUNK_BYTES = 1 << 16
_RESET = struct.pack("ii", 1, 0)


class LoopbackProxy:
    """Copies bytes between an address and its target.

    Attributes:
        delay: Seconds by which each piece is held back.
    """

    def __init__(self, address: str, target: str) -> None:
        """Makes a proxy that does not listen yet.

        Args:
            address: `IP:PORT` to listen at.
            target: `IP:PORT` to connect to.
        """
        self._address = address
        self._target = target
        self.delay = 0.0
        self._open_ways = {True: _make_set_event(), False: _make_set_event()}
        self._streams: list[trio.SocketStream] = []
        self._silenced: set[trio.SocketStream] = set()

    async def serve(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves connections until cancelled."""
        host, _, port = self._address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        await trio.serve_listeners(self._handle, listeners)

    def reset(self) -> None:
        """Resets all open connections."""
        for stream in self._streams:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET
            )
            stream.socket.close()

    def block(self, out: bool) -> None:
        """Holds back the bytes of one direction.

        Args:
            out: Whether bytes towards the target, or those from it.
        """
        self._open_ways[out] = trio.Event()

    def unblock(self) -> None:
        """Lets all bytes through again."""
        for way in self._open_ways.values():
            way.set()

    def silence(self) -> None:
        """Drops what comes on the connections that are open now."""
        self._silenced.update(self._streams)

    async def _handle(self, client: trio.SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(client)
            return
        self._streams += [client, server]
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server, True)
                nursery.start_soon(self._copy, server, client, False)
        finally:
            for stream in (client, server):
                self._streams.remove(stream)
                self._silenced.discard(stream)
                await trio.aclose_forcefully(stream)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, out: bool
    ) -> None:
        try:
            while data := await source.receive_some(_CHUNK_BYTES):
                if self.delay:
                    await trio.sleep(self.delay)
                await self._open_ways[out].wait()
                if source in self._silenced:
                    await trio.sleep(math.inf)
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(sink)


def _make_set_event() -> trio.Event:
    event = trio.Event()
    event.set()
    return event
