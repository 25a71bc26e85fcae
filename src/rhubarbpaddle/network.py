"""Byte streams between processes, passed in so that tests can replace them."""

import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from trio import TaskStatus

from rhubarbpaddle.exceptions import RhubarbpaddleError

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]

# Unacknowledged data for this long ends a connection whose far side vanished.
_USER_TIMEOUT_MS = 3_000
_BACKLOG = 1_024


class Network(Protocol):
    """Opens and accepts connections."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Connects to `IP:PORT`.

        Raises:
            OSError: The far side refused or is unreachable.
        """
        ...

    async def serve(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections at `IP:PORT` and runs a task for each."""
        ...

    def has_input(self, stream: trio.abc.Stream) -> bool:
        """Returns whether bytes or the end of the stream can be read now."""
        ...


class TcpNetwork:
    """TCP of the operating system."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Connects to `IP:PORT`."""
        host, port = split_address(address)
        sock = trio.socket.socket()
        try:
            await sock.connect((host, port))
        except BaseException:
            sock.close()
            raise
        stream = trio.SocketStream(sock)
        _set_user_timeout(stream)
        return stream

    async def serve(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections at `IP:PORT` and runs a task for each."""
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=_BACKLOG
        )

        async def handle(stream: trio.SocketStream) -> None:
            _set_user_timeout(stream)
            await handler(stream)

        task_status.started()
        await trio.serve_listeners(handle, listeners)

    def has_input(self, stream: trio.abc.Stream) -> bool:
        """Returns whether bytes or the end of the stream can be read now."""
        assert isinstance(stream, trio.SocketStream)
        sock = stream.socket
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            with socket.socket(fileno=socket.dup(sock.fileno())) as peeked:
                peeked.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and the port of `IP:PORT`.

    Raises:
        RhubarbpaddleError: The address has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise RhubarbpaddleError(
            f"not an IP:PORT address: {address!r}", step="parse_address"
        )
    return host.strip("[]"), int(port)


def _set_user_timeout(stream: trio.SocketStream) -> None:
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
