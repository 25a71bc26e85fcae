"""Runs functions with a stand-in log, in memory and in virtual time."""

import json
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from trio.testing import MockClock

from features.support.history_machine import make_text
from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric
from rhubarbpaddle.log import HttpLogClient
from standins.http_server import Handler, serve_connection
from standins.log_server import LogStream

ResultT = TypeVar("ResultT")


def run_with_log(
    handler: Handler | None, use: Callable[[HttpLogClient], Awaitable[ResultT]]
) -> ResultT:
    """Runs a function with a client of a log.

    Args:
        handler: Serves the requests to the log; if None, the log refuses
            connections.
        use: Called with the client.

    Returns:
        The result of `use`.
    """

    async def serve(stream: trio.abc.Stream) -> None:
        assert handler is not None
        await serve_connection(stream, handler)

    async def run() -> ResultT:
        network = HostNetwork(MemoryFabric(), "log")
        async with trio.open_nursery() as nursery:
            if handler is not None:
                await nursery.start(network.serve, "log:1", serve)
            result = await use(HttpLogClient(network, "log:1"))
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=MockClock(autojump_threshold=0))


def append_publication(stream: LogStream, number: int) -> None:
    """Appends a publication that is accepted as the version `number`."""
    document = {"kind": "publication", "id": str(number), "publisher": "test"}
    document |= {"base": number - 1, "text": make_text(number)}
    stream.append(json.dumps(document).encode())


def append_checkpoint(stream: LogStream, version: int, as_of: int) -> None:
    """Appends a checkpoint of a version.

    Args:
        stream: The stream of configurations.
        version: The version that the checkpoint states.
        as_of: The offset up to which the checkpoint includes all records.
    """
    document = {"kind": "checkpoint", "version": version, "as_of": as_of}
    document["text"] = make_text(version)
    stream.append(json.dumps(document).encode())
