"""A loopback proxy that injects connection faults."""

import math
import socket
import struct

import trio

_CHUNK_BYTES = 1 << 16
# Closing a socket with this option sends a reset.
_ZERO_LINGER = struct.pack("ii", 1, 0)


class LoopbackProxy:
    """Forwards connections from an address to a target.

    Attributes:
        delay: The seconds by which received data is delayed.
    """

    def __init__(self, address: str, target: str) -> None:
        """Creates a proxy that does not listen yet.

        Args:
            address: `IP:PORT` to listen at.
            target: `IP:PORT` to connect to.
        """
        self._address = address
        self._target = target
        self.delay = 0.0
        self._unblocked = {True: _make_set_event(), False: _make_set_event()}
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
            if stream.socket.fileno() < 0:
                # The copying task has closed it after an error.
                continue
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )
            stream.socket.close()

    def block(self, to_target: bool) -> None:
        """Suspends forwarding in one direction.

        Args:
            to_target: Whether to suspend the direction to the target;
                otherwise the one from the target.
        """
        self._unblocked[to_target] = trio.Event()

    def unblock(self) -> None:
        """Resumes forwarding in both directions."""
        for unblocked in self._unblocked.values():
            unblocked.set()

    def silence(self) -> None:
        """Stops forwarding on all connections that are currently open."""
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
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        to_target: bool,
    ) -> None:
        try:
            while data := await source.receive_some(_CHUNK_BYTES):
                if self.delay:
                    await trio.sleep(self.delay)
                await self._unblocked[to_target].wait()
                if source in self._silenced:
                    await trio.sleep(math.inf)
                await destination.send_all(data)
            await destination.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(destination)


def _make_set_event() -> trio.Event:
    event = trio.Event()
    event.set()
    return event
