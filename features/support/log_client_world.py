"""A log client and a stand-in log that are connected in memory."""

import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import trio
from trio.testing import MockClock

from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric
from rhubarbpaddle.log import HttpLogClient
from standins.http_server import (
    StandinRequest,
    StandinResponse,
    serve_connection,
)
from standins.log_server import LogServer
from standins.log_stream import LogStream

ADDRESS = "log:1"
STREAM = "test"


class LogClientWorld:
    """Runs one scenario of the log client in virtual time.

    Attributes:
        connection_count: The number of connections that the client opened.
        break_next: Whether the log closes the connection of the next request
            without a response.
    """

    def __init__(self) -> None:
        self.fabric = MemoryFabric()
        self.server = LogServer()
        self.client = HttpLogClient(HostNetwork(self.fabric, "node"), ADDRESS)
        self.connection_count = 0
        self.break_next = False

    @property
    def stream(self) -> LogStream:
        return self.server.streams[STREAM]

    async def append(self) -> int:
        return await self.client.append(STREAM, b"record")

    async def read(self, seconds: float, start: int = 0) -> Any:
        wait = timedelta(seconds=seconds)
        return await self.client.read(STREAM, start, 100, wait)

    async def configure(self, document: str) -> None:
        request = StandinRequest("POST", "/control", {}, document.encode())
        response = await self.server.handle(request)
        assert response.status == 200, response
        assert json.loads(document).items() <= json.loads(response.body).items()

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                network = HostNetwork(self.fabric, "log")
                await nursery.start(network.serve, ADDRESS, self._serve)
                await scenario()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def _serve(self, stream: trio.abc.Stream) -> None:
        self.connection_count += 1
        await serve_connection(stream, self._handle)

    async def _handle(self, request: StandinRequest) -> StandinResponse:
        if self.break_next:
            self.break_next = False
            return StandinResponse(0, b"")
        return await self.server.handle(request)
