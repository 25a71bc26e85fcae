"""In-memory network between the hosts of a test."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from itertools import pairwise

import trio

from features.support.memory_pipe import MemoryPipe
from features.support.memory_stream import MemoryStream
from rhubarbpaddle.tcp_network import TcpNetwork

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


class MemoryFabric:
    """Connects hosts by address and drops traffic that the test blocks.

    Attributes:
        blocked: Pairs of hosts. Bytes from the first to the second host are
            dropped. A connection that has lost bytes stays silent, also after
            the pair is removed.
        refused: Pairs of hosts. The second host refuses new connections from
            the first.
        attempted: Addresses to which connections were attempted.
        connections: The two hosts of each connection that was opened.
        tcp_addresses: Real addresses by the addresses that stand for them.
            Scenarios that use them run in real time.
    """

    def __init__(self) -> None:
        self.blocked: set[tuple[str, str]] = set()
        self.refused: set[tuple[str, str]] = set()
        self.attempted: set[str] = set()
        self.connections: list[tuple[str, str]] = []
        self.tcp_addresses: dict[str, str] = {}
        self._listeners: dict[str, tuple[str, StreamHandler, trio.Nursery]] = {}
        self._pipes: list[tuple[str, str, MemoryPipe]] = []

    def listen(
        self,
        host: str,
        address: str,
        handler: StreamHandler,
        nursery: trio.Nursery,
    ) -> None:
        """Starts accepting connections at an address."""
        self._listeners[address] = (host, handler, nursery)

    def stop_listening(self, address: str) -> None:
        """Refuses new connections at an address."""
        self._listeners.pop(address, None)

    async def connect(
        self, source: str, address: str
    ) -> trio.abc.HalfCloseableStream:
        """Opens a connection from a host to an address."""
        if address in self.tcp_addresses:
            return await TcpNetwork().connect(self.tcp_addresses[address])
        await trio.lowlevel.checkpoint()
        self.attempted.add(address)
        if address not in self._listeners:
            raise ConnectionRefusedError(address)
        target, handler, nursery = self._listeners[address]
        if (source, target) in self.refused:
            raise ConnectionRefusedError(address)
        if {(source, target), (target, source)} & self.blocked:
            await trio.sleep_forever()
        self.connections.append((source, target))
        outgoing = self._add_pipe(source, target)
        incoming = self._add_pipe(target, source)
        nursery.start_soon(handler, MemoryStream(incoming, outgoing))
        return MemoryStream(outgoing, incoming)

    def reset_connections(self, first: str, second: str) -> None:
        """Resets all connections between two hosts."""
        for source, target, pipe in self._pipes:
            if {source, target} == {first, second}:
                pipe.abort()

    def silence(self, first: str, second: str, skipped: int = 0) -> None:
        """Drops all further bytes on the open connections between two hosts.

        Connections that are opened later are not affected.

        Args:
            first: A host.
            second: The other host, which may be the same.
            skipped: How many of their oldest connections are not affected.
        """
        pipes = [
            pipe
            for source, target, pipe in self._pipes
            if {source, target} == {first, second}
        ]
        for pipe in pipes[2 * skipped :]:
            pipe.silenced = True

    @contextmanager
    def hold(self, target: str) -> Iterator[None]:
        """Delays the bytes of open connections to a host until the end."""
        pipes = [pipe for _, other, pipe in self._pipes if other == target]
        for pipe in pipes:
            pipe.held = True
        yield
        for pipe in pipes:
            pipe.release()

    def block_both_ways(self, *hosts: str) -> None:
        """Blocks all traffic between each two consecutive hosts of a list."""
        for first, second in pairwise(hosts):
            self.blocked |= {(first, second), (second, first)}

    def _add_pipe(self, source: str, target: str) -> MemoryPipe:
        pipe = MemoryPipe(lambda: (source, target) in self.blocked)
        self._pipes.append((source, target, pipe))
        return pipe
