"""The interface of connections that `StreamWatch` checks."""

from typing import Protocol

import trio

from rhubarbpaddle.remote_state import RemoteState


class WatchedConnection(Protocol):
    """A connection whose remote side waits for a request to be completed.

    Attributes:
        stream: The byte stream of the connection.
    """

    stream: trio.abc.Stream

    def has_disconnected(self, state: RemoteState) -> bool:
        """Returns whether the remote side no longer waits for a response.

        Args:
            state: The state of the remote side according to the network.
        """
        ...

    def get_keep_alive(self, state: RemoteState) -> bytes:
        """Returns the bytes to send to the remote side at this check, if any.

        They keep the connection alive, or provoke an error if the remote side
        has disconnected.

        Args:
            state: The state of the remote side according to the network.
        """
        ...
