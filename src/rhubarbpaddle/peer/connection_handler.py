"""Serves the connections of one purpose."""

from typing import Protocol

from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import Hello


class ConnectionHandler(Protocol):
    """Serves one authenticated connection until it ends."""

    async def serve(self, conn: PeerConnection, hello: Hello) -> None:
        """Serves the connection."""
        ...
