"""Connections of other nodes that wait for their next message."""

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.peer.connection import PeerConnection


class IdlePeerConnections:
    """Limits the idle connections by closing the longest idle one.

    It addresses a node that all others ask in turn. A connection in frequent
    use is kept also above the limit, since opening it again for each message
    costs more than its memory.
    """

    def __init__(
        self, limit: int, min_idle_seconds: float, clock: Clock
    ) -> None:
        """Creates a limit without connections.

        Args:
            limit: The number of connections from which on some are closed.
            min_idle_seconds: A connection used within this time stays open.
            clock: The source of time.
        """
        self._limit = limit
        self._min_idle_seconds = min_idle_seconds
        self._clock = clock
        self._connections: dict[PeerConnection, trio.CancelScope] = {}

    def add(self, conn: PeerConnection, scope: trio.CancelScope) -> None:
        """Adds a connection that waits for its next message.

        Args:
            conn: The connection.
            scope: The scope of its task, which closes it when cancelled.
        """
        conn.idle_since = self._clock.monotonic()
        self._connections[conn] = scope
        if len(self._connections) <= self._limit:
            return
        oldest = next(iter(self._connections))
        if conn.idle_since - oldest.idle_since >= self._min_idle_seconds:
            self._connections.pop(oldest).cancel()

    def remove(self, conn: PeerConnection) -> None:
        """Removes a connection that received a message or closed."""
        self._connections.pop(conn, None)
