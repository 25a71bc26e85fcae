"""The network interface, which tests implement in memory."""

import re
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from trio import TaskStatus

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.remote_state import RemoteState

_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


class Network(Protocol):
    """Opens, accepts and inspects byte streams between processes."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Connects to `IP:PORT`.

        Raises:
            OSError: The remote side refused or is unreachable.
        """
        ...

    def is_valid_address(self, address: str) -> bool:
        """Returns whether connections to an address can be attempted.

        An address is an IP address and a port from 1 to 65535.
        """
        ...

    async def serve(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections at `IP:PORT` and runs a task for each.

        Args:
            address: The `IP:PORT` to listen on.
            handler: Called with the stream of each connection, in its task.
            task_status: Reports that the socket listens.
        """
        ...

    def has_input(self, stream: trio.abc.Stream) -> bool:
        """Returns whether bytes or the end of the stream can be read now."""
        ...

    def get_remote_state(self, stream: trio.abc.Stream) -> RemoteState:
        """Returns the state of the remote side, without reading."""
        ...

    def get_remote_address(self, stream: trio.abc.Stream) -> str:
        """Returns the IP address of the remote side, or `unknown`."""
        ...

    def try_send(self, stream: trio.abc.Stream, data: bytes) -> bool:
        """Sends a few bytes without waiting, or none if the stream is blocked.

        Returns:
            False if the stream failed or accepted only some of the bytes; it
            must then not be used any more.
        """
        ...

    def reset_on_close(self, stream: trio.abc.Stream) -> None:
        """Makes a later close reset the connection instead of ending it.

        The remote side then gets an error in place of the end of the stream.
        """
        ...


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:PORT` into the IP address and the port.

    Raises:
        RhubarbpaddleError: The address is not of this form.
    """
    host, _, port = address.rpartition(":")
    if not host or not _PORT.fullmatch(port) or not 0 <= int(port) <= _MAX_PORT:
        raise RhubarbpaddleError(
            f"not an IP:PORT address: {address!r:.100}", step="parse_address"
        )
    return host.strip("[]"), int(port)
