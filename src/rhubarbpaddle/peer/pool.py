"""Idle connections to other nodes."""

from collections import defaultdict

from rhubarbpaddle.network import Network
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector

_MAX_IDLE_PER_PEER = 32


class PeerPool:
    """Keeps connections that carry one exchange at a time."""

    def __init__(self, network: Network, connector: PeerConnector) -> None:
        self._network = network
        self._connector = connector
        self._idle: defaultdict[str, list[PeerConnection]] = defaultdict(list)

    async def acquire(self, address: str) -> PeerConnection:
        """Returns an idle connection or opens one.

        Raises:
            OSError: The other node is unreachable.
            RhubarbpaddleError: It did not accept the connection.
        """
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if not self._network.has_input(conn.stream):
                return conn
            await conn.aclose()
        return await self._connector.connect(address, "exchange")

    async def release(self, address: str, conn: PeerConnection) -> None:
        """Takes a connection back after its exchange was read to its end."""
        idle = self._idle[address]
        if conn.broken or len(idle) >= _MAX_IDLE_PER_PEER:
            await conn.aclose()
        else:
            idle.append(conn)

    async def purge(self, address: str) -> None:
        """Closes all idle connections to a node that fell silent."""
        for conn in self._idle.pop(address, []):
            await conn.aclose()
