"""Cancels requests whose caller disconnects while they run.

The watch cancels running work. Before work starts, the state of its caller is
checked by the `StreamPresence` that `add` returns, because the watch may detect
a close up to one interval after its arrival.
"""

from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.network import Network
from rhubarbpaddle.stream_presence import StreamPresence
from rhubarbpaddle.watched_connection import WatchedConnection

CHECK_INTERVAL = timedelta(milliseconds=100)


class StreamWatch:
    """Checks all connections that have a running request, in one task.

    One task for all connections costs less than a second task for each
    request, and checking does not read the bytes of pipelined requests.
    """

    def __init__(self, network: Network, clock: Clock) -> None:
        self._network = network
        self._clock = clock
        self._scopes: dict[WatchedConnection, trio.CancelScope] = {}
        self._connection_added = trio.Event()

    def add(
        self, conn: WatchedConnection, scope: trio.CancelScope
    ) -> StreamPresence:
        """Starts to check a connection.

        Args:
            conn: The connection.
            scope: Cancelled once the remote side has disconnected.

        Returns:
            An object that checks on demand whether the remote side has
            disconnected.
        """
        self._scopes[conn] = scope
        self._connection_added.set()
        return StreamPresence(conn, self._network)

    def remove(self, conn: WatchedConnection) -> None:
        """Stops checking a connection."""
        self._scopes.pop(conn, None)

    async def run(self) -> None:
        """Checks all added connections each interval, until cancelled."""
        while True:
            if not self._scopes:
                # A timer here would cause a quarter of an idle node's wake-ups.
                self._connection_added = trio.Event()
                await self._connection_added.wait()
            await self._clock.sleep(CHECK_INTERVAL)
            for conn, scope in tuple(self._scopes.items()):
                if not self._is_connected(conn):
                    scope.cancel()

    def _is_connected(self, conn: WatchedConnection) -> bool:
        state = self._network.get_remote_state(conn.stream)
        if conn.has_disconnected(state):
            return False
        keep_alive = conn.get_keep_alive(state)
        return not keep_alive or self._network.try_send(conn.stream, keep_alive)
