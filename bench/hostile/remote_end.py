"""A remote end that uses more of a node than it should."""

import contextlib
import math
from typing import NamedTuple

import trio

from bench.hostile.opening import Opening
from rhubarbpaddle.exceptions import RhubarbpaddleError

_RECONNECT_SECONDS = 0.05


class RemoteEnd(NamedTuple):
    """Repeats bytes on a connection, and connects again when it is closed.

    Attributes:
        name: What it does, for the table.
        opening: Opens its connections.
        repeated: What it writes without end; nothing if empty.
        reads: Whether it reads what the node sends.
        pause_seconds: How long it waits before each write.
        connections: The number of its connections.
        form: The key in `endless_instance.FORMS` of what instances respond to
            requests with the id `one`; none if empty.
    """

    name: str
    opening: Opening
    repeated: bytes = b""
    reads: bool = False
    pause_seconds: float = 0.0
    connections: int = 1
    form: str = ""

    async def run(self, ip: str, number: int) -> None:
        """Uses the node at an IP address until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.connections):
                nursery.start_soon(self._run_connection, ip, number)

    async def _run_connection(self, ip: str, number: int) -> None:
        while True:
            with contextlib.suppress(OSError, RhubarbpaddleError):
                stream = await self.opening.open(ip, number)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write, stream)
                    if self.reads:
                        await _read_all(stream)
                        nursery.cancel_scope.cancel()
                await trio.aclose_forcefully(stream)
            await trio.sleep(_RECONNECT_SECONDS)

    async def _write(self, stream: trio.abc.Stream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            while self.repeated:
                await trio.sleep(self.pause_seconds)
                await stream.send_all(self.repeated)
            await trio.sleep(math.inf)


async def _read_all(stream: trio.abc.Stream) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        while await stream.receive_some():
            pass
