"""Interface of the handlers that `PeerListener` passes connections to."""

from typing import Protocol

from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import Hello


class ConnectionHandler(Protocol):
    """Serves the authenticated connections of one purpose."""

    async def serve(self, conn: PeerConnection, hello: Hello) -> None:
        """Serves one connection until it closes.

        Args:
            conn: The authenticated connection.
            hello: The handshake message of the connecting node.
        """
        ...
