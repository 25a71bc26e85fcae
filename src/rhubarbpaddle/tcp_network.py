"""The network of a real process."""

import ipaddress
import select
import socket
import struct
from collections.abc import Iterator

import trio
from trio import TaskStatus

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.network import StreamHandler, split_address
from rhubarbpaddle.remote_state import RemoteState
from rhubarbpaddle.tcp_stream import TcpStream
from rhubarbpaddle.telemetry import get_logger

_BACKLOG = 1_024
# Limits the connections accepted in one pass of the event loop, so that other
# tasks run too while many arrive.
_ACCEPTS_PER_PASS = 256
_ACCEPT_RETRY_SECONDS = 0.1

# Closes a connection whose sent data stays unacknowledged for this long. The
# kernel also counts the time in which the remote side keeps its receive window
# closed, so this is how long a slow reader may pause.
_USER_TIMEOUT_MS = 30_000
# Closes an idle connection to a host that vanished after about 30 s.
_KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 15),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)

_log = get_logger("network")


class TcpNetwork:
    """Opens and accepts connections over TCP; implements `Network`."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Connects to `IP:PORT`."""
        host, port = split_address(address)
        sock = trio.socket.socket()
        try:
            await sock.connect((host, port))
        except BaseException:
            sock.close()
            raise
        stream = TcpStream(trio.SocketStream(sock))
        _set_options(stream)
        return stream

    def is_valid_address(self, address: str) -> bool:
        """Returns whether an address is an IP address and a port."""
        try:
            host, port = split_address(address)
            ipaddress.ip_address(host)
        except (RhubarbpaddleError, ValueError):
            return False
        return port > 0

    async def serve(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections at `IP:PORT` and runs a task for each."""
        with _listen(address) as listener:
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    try:
                        for accepted in _accept_pending(listener):
                            nursery.start_soon(
                                _handle_connection, accepted, handler
                            )
                    except OSError as exc:
                        # Out of descriptors or memory until other connections
                        # close.
                        _log.warn("accept_failed", address=address, reason=exc)
                        await trio.sleep(_ACCEPT_RETRY_SECONDS)

    def has_input(self, stream: trio.abc.Stream) -> bool:
        """Returns whether bytes or the end of the stream can be read now."""
        return _poll(stream, select.POLLIN | select.POLLRDHUP) != 0

    def get_remote_state(self, stream: trio.abc.Stream) -> RemoteState:
        """Returns the state of the remote side, without reading."""
        events = _poll(stream, select.POLLRDHUP)
        if events & (select.POLLERR | select.POLLHUP | select.POLLNVAL):
            return RemoteState.CLOSED
        if events & select.POLLRDHUP:
            return RemoteState.HALF_CLOSED
        return RemoteState.OPEN

    def get_remote_address(self, stream: trio.abc.Stream) -> str:
        """Returns the IP address of the remote side, or `unknown`."""
        assert isinstance(stream, TcpStream)
        try:
            return str(stream.socket.getpeername()[0])
        except OSError:
            return "unknown"

    def try_send(self, stream: trio.abc.Stream, data: bytes) -> bool:
        """Sends a few bytes without waiting; see `Network.try_send`."""
        assert isinstance(stream, TcpStream)
        return stream.try_send(data)

    def reset_on_close(self, stream: trio.abc.Stream) -> None:
        """Makes a later close reset the connection instead of ending it."""
        assert isinstance(stream, TcpStream)
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )


def _listen(address: str) -> socket.socket:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server(
        (host, port), family=family, backlog=_BACKLOG
    )
    listener.setblocking(False)
    return listener


def _accept_pending(listener: socket.socket) -> Iterator[socket.socket]:
    """Yields the pending connections without waiting for further ones.

    `trio.serve_listeners` accepts one connection per pass of the event loop. In
    a busy process the last of many then waits for as many passes as there are
    connections before it.
    """
    for _ in range(_ACCEPTS_PER_PASS):
        try:
            accepted, _address = listener.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:
            continue
        yield accepted


async def _handle_connection(
    accepted: socket.socket, handler: StreamHandler
) -> None:
    accepted.setblocking(False)
    sock = trio.socket.from_stdlib_socket(accepted)
    stream = TcpStream(trio.SocketStream(sock))
    _set_options(stream)
    await handler(stream)


def _set_options(stream: TcpStream) -> None:
    stream.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
    for level, option, value in _KEEP_ALIVE_OPTIONS:
        stream.socket.setsockopt(level, option, value)


def _poll(stream: trio.abc.Stream, events: int) -> int:
    assert isinstance(stream, TcpStream)
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return select.POLLNVAL
    poller = select.poll()
    poller.register(descriptor, events)
    results = poller.poll(0)
    return results[0][1] if results else 0
