"""The presence of the far side of a connection."""

from typing import NamedTuple

from rhubarbpaddle.network import Network
from rhubarbpaddle.watchable import Watchable


class StreamPresence(NamedTuple):
    """Asks the network; implements `CallerPresence`.

    Attributes:
        conn: The connection.
        network: What its stream belongs to.
    """

    conn: Watchable
    network: Network

    def has_left(self) -> bool:
        """Returns whether the far side's close has arrived."""
        state = self.network.get_remote_state(self.conn.stream)
        return self.conn.is_gone(state)
