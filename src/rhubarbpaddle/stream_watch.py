"""Cancels requests whose caller disconnects while they run.

The watch cancels running work. Before work starts, the state of its caller is
checked by the `StreamPresence` that `add` returns, because the watch may detect
a close up to one interval after its arrival.
"""

from collections.abc import Callable
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.network import Network
from rhubarbpaddle.remote_state import RemoteState
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
        self._connections: dict[
            WatchedConnection,
            tuple[trio.CancelScope, Callable[[], None] | None],
        ] = {}
        self._connection_added = trio.Event()

    def add(
        self,
        conn: WatchedConnection,
        scope: trio.CancelScope,
        handle_input: Callable[[], None] | None = None,
    ) -> StreamPresence:
        """Starts to check a connection.

        Args:
            conn: The connection.
            scope: Cancelled once the remote side has disconnected.
            handle_input: Called at each check at which input can be read, or
                None.

        Returns:
            An object that checks on demand whether the remote side has
            disconnected.
        """
        self._connections[conn] = (scope, handle_input)
        self._connection_added.set()
        return StreamPresence(conn, self._network)

    def remove(self, conn: WatchedConnection) -> None:
        """Stops checking a connection."""
        self._connections.pop(conn, None)

    async def run(self) -> None:
        """Checks all added connections each interval, until cancelled."""
        while True:
            if not self._connections:
                # A timer here would cause a quarter of an idle node's wake-ups.
                self._connection_added = trio.Event()
                await self._connection_added.wait()
            await self._clock.sleep(CHECK_INTERVAL)
            for conn, (scope, handle_input) in tuple(self._connections.items()):
                if not self._is_connected(conn, handle_input):
                    scope.cancel()

    def _is_connected(
        self,
        conn: WatchedConnection,
        handle_input: Callable[[], None] | None,
    ) -> bool:
        has_input = handle_input is not None and self._network.has_input(
            conn.stream
        )
        if handle_input is None or has_input:
            state = self._network.get_remote_state(conn.stream)
        else:
            # A close counts as input, so the state needs no second check.
            state = RemoteState.OPEN
        if conn.has_disconnected(state):
            return False
        if handle_input is not None and has_input:
            handle_input()
        keep_alive = conn.get_keep_alive(state)
        return not keep_alive or self._network.try_send(conn.stream, keep_alive)
