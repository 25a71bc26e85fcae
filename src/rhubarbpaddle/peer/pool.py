"""Pool of connections to other nodes."""

import math
from collections import defaultdict

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.network import Network
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector

_MAX_IDLE_PER_PEER = 32
# A device between two hosts may drop an idle connection's state silently. A
# connection that was idle for longer is not reused, since a request that is
# lost on it is detected only after 3 s.
MAX_IDLE_SECONDS = 5.0


class PeerPool:
    """Reuses connections to other nodes, for one exchange at a time."""

    def __init__(
        self,
        network: Network,
        connector: PeerConnector,
        clock: Clock,
        purpose: str = "exchange",
        max_idle_seconds: float = MAX_IDLE_SECONDS,
        max_idle: float = math.inf,
    ) -> None:
        """Creates a pool without connections.

        Args:
            network: Detects connections that were closed.
            connector: Opens connections.
            clock: The source of time.
            purpose: The purpose of the connections.
            max_idle_seconds: For how long an idle connection may be reused.
            max_idle: The maximum number of idle connections to all nodes.
        """
        self._purpose = purpose
        self._max_idle_seconds = max_idle_seconds
        self._max_idle = max_idle
        self._network = network
        self._connector = connector
        self._clock = clock
        self._idle: defaultdict[str, list[PeerConnection]] = defaultdict(list)
        # The address of each idle connection, the longest idle one first.
        self._addresses: dict[PeerConnection, str] = {}

    async def acquire(self, address: str) -> PeerConnection:
        """Returns an idle connection or opens a new one.

        Args:
            address: `IP:PORT` of the other node's peer listener.

        Raises:
            OSError: The other node is unreachable.
            RhubarbpaddleError: The handshake failed or timed out.
        """
        idle = self._idle[address]
        earliest = self._clock.monotonic() - self._max_idle_seconds
        while idle:
            conn = idle.pop()
            # `purge` may have removed it while an earlier one was closed.
            self._addresses.pop(conn, None)
            if conn.idle_since >= earliest and not self._network.has_input(
                conn.stream
            ):
                return conn
            await conn.aclose()
        return await self._connector.connect(address, self._purpose)

    async def release(self, address: str, conn: PeerConnection) -> None:
        """Returns a connection to the pool after a complete exchange.

        Closes it if it is broken or there are many to the same node. Closes the
        longest idle connection if there are more than the maximum.
        """
        idle = self._idle[address]
        if conn.broken or len(idle) >= _MAX_IDLE_PER_PEER:
            await conn.aclose()
        else:
            conn.idle_since = self._clock.monotonic()
            idle.append(conn)
            self._addresses[conn] = address
            if len(self._addresses) > self._max_idle:
                await self._close_oldest()

    async def purge(self, address: str) -> None:
        """Closes all idle connections to a node that does not respond."""
        purged = self._idle.pop(address, [])
        for conn in purged:
            del self._addresses[conn]
        for conn in purged:
            await conn.aclose()

    async def _close_oldest(self) -> None:
        conn, address = next(iter(self._addresses.items()))
        del self._addresses[conn]
        self._idle[address].remove(conn)
        await conn.aclose()
