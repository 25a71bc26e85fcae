"""The network of one host in a test."""

import re

import trio
from trio import TaskStatus

from features.support.memory_fabric import MemoryFabric, StreamHandler
from features.support.memory_stream import MemoryStream
from rhubarbpaddle.remote_state import RemoteState
from rhubarbpaddle.tcp_network import TcpNetwork
from rhubarbpaddle.tcp_stream import TcpStream

# The names of hosts take the place of IP addresses.
_ADDRESS = re.compile(r"[a-z0-9-]+:([0-9]{1,5})")


class HostNetwork:
    """Implements `Network` for one host of a memory fabric."""

    def __init__(self, fabric: MemoryFabric, host: str) -> None:
        self._fabric = fabric
        self._host = host

    async def connect(self, address: str) -> trio.abc.Stream:
        return await self._fabric.connect(self._host, address)

    def is_valid_address(self, address: str) -> bool:
        match = _ADDRESS.fullmatch(address)
        return match is not None and 0 < int(match[1]) < 65_536

    async def serve(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._fabric.listen(self._host, address, handler, nursery)
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self._fabric.stop_listening(address)

    def has_input(self, stream: trio.abc.Stream) -> bool:
        if isinstance(stream, TcpStream):
            return TcpNetwork().has_input(stream)
        assert isinstance(stream, MemoryStream)
        return stream.incoming.has_input()

    def get_remote_state(self, stream: trio.abc.Stream) -> RemoteState:
        if isinstance(stream, TcpStream):
            return TcpNetwork().get_remote_state(stream)
        assert isinstance(stream, MemoryStream)
        if stream.outgoing.broken:
            return RemoteState.CLOSED
        if stream.incoming.ended:
            return RemoteState.HALF_CLOSED
        return RemoteState.OPEN

    def get_remote_address(self, stream: trio.abc.Stream) -> str:
        return "192.0.2.1"

    def try_send(self, stream: trio.abc.Stream, data: bytes) -> bool:
        if isinstance(stream, TcpStream):
            return TcpNetwork().try_send(stream, data)
        assert isinstance(stream, MemoryStream)
        return stream.outgoing.try_write(data)

    def reset_on_close(self, stream: trio.abc.Stream) -> None:
        if isinstance(stream, TcpStream):
            TcpNetwork().reset_on_close(stream)
            return
        assert isinstance(stream, MemoryStream)
        stream.reset_on_close = True
