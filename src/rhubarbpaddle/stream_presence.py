"""Checks whether the caller on a connection is still connected."""

from typing import NamedTuple

from rhubarbpaddle.network import Network
from rhubarbpaddle.watched_connection import WatchedConnection


class StreamPresence(NamedTuple):
    """Implements `CallerPresence` by the state of a connection.

    Attributes:
        conn: The connection.
        network: The network that opened the connection's stream.
    """

    conn: WatchedConnection
    network: Network

    def has_disconnected(self) -> bool:
        """Returns whether the remote side has disconnected."""
        state = self.network.get_remote_state(self.conn.stream)
        return self.conn.has_disconnected(state)
