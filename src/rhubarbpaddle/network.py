"""Byte streams between processes, passed in so that tests can replace them."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from trio import TaskStatus

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.remote_state import RemoteState

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


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

    def get_remote_state(self, stream: trio.abc.Stream) -> RemoteState:
        """Returns what is known of the far side, without reading."""
        ...

    def get_remote_address(self, stream: trio.abc.Stream) -> str:
        """Returns the far side's IP number, or `unknown`."""
        ...

    def try_send(self, stream: trio.abc.Stream, data: bytes) -> bool:
        """Sends a few bytes at once, or none if the stream takes none now.

        Returns:
            False if the stream failed or took only a part of the bytes; it
            must then not be used again.
        """
        ...

    def reset_on_close(self, stream: trio.abc.Stream) -> None:
        """Makes a later close reach the far side as an error, not an end."""
        ...


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
