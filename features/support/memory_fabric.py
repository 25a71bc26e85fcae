"""All connections of a test, in memory."""

from collections.abc import Awaitable, Callable
from itertools import pairwise

import trio

from features.support.memory_pipe import MemoryPipe
from features.support.memory_stream import MemoryStream

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


class MemoryFabric:
    """Connects hosts by address and loses what the test blocks.

    Attributes:
        blocked: Pairs of hosts; bytes from the first to the second are lost
            from then on, on each connection that carries any.
    """

    def __init__(self) -> None:
        self.blocked: set[tuple[str, str]] = set()
        self._listeners: dict[str, tuple[str, StreamHandler, trio.Nursery]] = {}
        self._pipes: list[tuple[str, str, MemoryPipe]] = []

    def listen(
        self,
        host: str,
        address: str,
        handler: StreamHandler,
        nursery: trio.Nursery,
    ) -> None:
        """Starts to accept connections at an address."""
        self._listeners[address] = (host, handler, nursery)

    def stop_listening(self, address: str) -> None:
        """Refuses further connections at an address."""
        self._listeners.pop(address, None)

    async def connect(self, source: str, address: str) -> MemoryStream:
        """Opens a connection from a host to an address."""
        await trio.lowlevel.checkpoint()
        if address not in self._listeners:
            raise ConnectionRefusedError(address)
        target, handler, nursery = self._listeners[address]
        if {(source, target), (target, source)} & self.blocked:
            await trio.sleep_forever()
        there = self._add_pipe(source, target)
        back = self._add_pipe(target, source)
        nursery.start_soon(handler, MemoryStream(back, there))
        return MemoryStream(there, back)

    def cut(self, first: str, second: str) -> None:
        """Breaks all connections between two hosts."""
        for source, target, pipe in self._pipes:
            if {source, target} == {first, second}:
                pipe.cut()

    def silence(self, first: str, second: str, skipped: int = 0) -> None:
        """Silences the connections open now, but not later ones.

        Args:
            first: A host.
            second: The other host, which may be the same.
            skipped: How many of their oldest connections stay as they are.
        """
        pipes = [
            pipe
            for source, target, pipe in self._pipes
            if {source, target} == {first, second}
        ]
        for pipe in pipes[2 * skipped :]:
            pipe.silenced = True

    def block_both_ways(self, *hosts: str) -> None:
        """Blocks all traffic between neighbours of a list of hosts."""
        for first, second in pairwise(hosts):
            self.blocked |= {(first, second), (second, first)}

    def _add_pipe(self, source: str, target: str) -> MemoryPipe:
        pipe = MemoryPipe(lambda: (source, target) in self.blocked)
        self._pipes.append((source, target, pipe))
        return pipe
