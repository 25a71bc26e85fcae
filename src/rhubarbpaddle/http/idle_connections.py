"""Callers' connections that wait for their next request."""

from collections.abc import Callable

import trio

from rhubarbpaddle.http.server_connection import ServerConnection


class IdleConnections:
    """Limits the idle connections by closing the longest idle one."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._connections: dict[ServerConnection, None] = {}

    def add(self, conn: ServerConnection) -> None:
        """Adds a connection that waits for its next request.

        Closes the longest idle connection if there are more than the limit.
        """
        self._connections[conn] = None
        if len(self._connections) > self._limit:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.scope.cancel()

    def remove(self, conn: ServerConnection) -> None:
        """Removes a connection that received a request or closed."""
        self._connections.pop(conn, None)

    def close_all(self, has_input: Callable[[trio.abc.Stream], bool]) -> None:
        """Closes all idle connections, for a graceful shutdown.

        A connection on which part of a request has arrived stays open, so
        that the request receives a response.

        Args:
            has_input: Returns whether a stream has unread bytes.
        """
        for conn in tuple(self._connections):
            if not conn.receiving_head and not has_input(conn.stream):
                conn.scope.cancel()
