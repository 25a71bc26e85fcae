"""Pool of connections to other nodes."""

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
    ) -> None:
        """Creates a pool without connections.

        Args:
            network: Detects connections that were closed.
            connector: Opens connections.
            clock: The source of time.
            purpose: The purpose of the connections.
            max_idle_seconds: For how long an idle connection may be reused.
        """
        self._purpose = purpose
        self._max_idle_seconds = max_idle_seconds
        self._network = network
        self._connector = connector
        self._clock = clock
        self._idle: defaultdict[str, list[PeerConnection]] = defaultdict(list)

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
            if conn.idle_since >= earliest and not self._network.has_input(
                conn.stream
            ):
                return conn
            await conn.aclose()
        return await self._connector.connect(address, self._purpose)

    async def release(self, address: str, conn: PeerConnection) -> None:
        """Returns a connection to the pool after a complete exchange.

        Closes it if it is broken or the pool is full.
        """
        idle = self._idle[address]
        if conn.broken or len(idle) >= _MAX_IDLE_PER_PEER:
            await conn.aclose()
        else:
            conn.idle_since = self._clock.monotonic()
            idle.append(conn)

    async def purge(self, address: str) -> None:
        """Closes all idle connections to a node that does not respond."""
        for conn in self._idle.pop(address, []):
            await conn.aclose()
