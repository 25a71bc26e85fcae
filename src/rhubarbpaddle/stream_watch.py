"""Notices far sides that go away while their request runs.

The watch ends work that is under way. Work that is about to begin asks the
presence that `add` returns, since a close that has arrived may be noticed here
a whole interval later.
"""

from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.network import Network
from rhubarbpaddle.stream_presence import StreamPresence
from rhubarbpaddle.watchable import Watchable

CHECK_INTERVAL = timedelta(milliseconds=100)


class StreamWatch:
    """Checks all connections with a running request from one task.

    One task for all connections costs less than a second task for each
    request, and it leaves the bytes of pipelined requests unread.
    """

    def __init__(self, network: Network, clock: Clock) -> None:
        self._network = network
        self._clock = clock
        self._scopes: dict[Watchable, trio.CancelScope] = {}
        self._added = trio.Event()

    def add(self, conn: Watchable, scope: trio.CancelScope) -> StreamPresence:
        """Starts to check a connection.

        Args:
            conn: The connection.
            scope: What to cancel once its far side is gone.

        Returns:
            What tells at any moment whether the far side is gone.
        """
        self._scopes[conn] = scope
        self._added.set()
        return StreamPresence(conn, self._network)

    def remove(self, conn: Watchable) -> None:
        """Stops checking a connection."""
        self._scopes.pop(conn, None)

    async def run(self) -> None:
        """Checks until cancelled."""
        while True:
            if not self._scopes:
                # A timer would be a quarter of an idle node's wake-ups.
                self._added = trio.Event()
                await self._added.wait()
            await self._clock.sleep(CHECK_INTERVAL)
            for conn, scope in tuple(self._scopes.items()):
                if not self._check(conn):
                    scope.cancel()

    def _check(self, conn: Watchable) -> bool:
        state = self._network.get_remote_state(conn.stream)
        if conn.is_gone(state):
            return False
        sign = conn.get_sign(state)
        return not sign or self._network.try_send(conn.stream, sign)
