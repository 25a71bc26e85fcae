"""The callers' connections that wait for their next request."""

from collections.abc import Callable

import trio

from rhubarbpaddle.http.server_connection import ServerConnection


class IdleConnections:
    """Bounds how many connections wait; the longest wait ends first."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiting: dict[ServerConnection, None] = {}

    def add(self, conn: ServerConnection) -> None:
        """Notes that a connection waits for its next request."""
        self._waiting[conn] = None
        if len(self._waiting) > self._limit:
            oldest = next(iter(self._waiting))
            del self._waiting[oldest]
            oldest.scope.cancel()

    def remove(self, conn: ServerConnection) -> None:
        """Notes that a connection received a request or ended."""
        self._waiting.pop(conn, None)

    def close_all(self, has_input: Callable[[trio.abc.Stream], bool]) -> None:
        """Ends all waits, for a graceful shutdown.

        A connection on which a request has begun to arrive stays open, so that
        the request gets an answer.

        Args:
            has_input: Returns whether a stream holds bytes not read yet.
        """
        for conn in tuple(self._waiting):
            if not conn.receiving_head and not has_input(conn.stream):
                conn.scope.cancel()
