"""Opens authenticated connections to other nodes."""

import trio

from rhubarbpaddle.exceptions import PeerSilentError, ProtocolError
from rhubarbpaddle.network import Network
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.messages import Challenge, Welcome

CONNECT_SECONDS = 1.0


class PeerConnector:
    """Opens connections to other nodes and authenticates this node."""

    def __init__(self, network: Network, identity: PeerIdentity) -> None:
        self._network = network
        self._identity = identity

    def is_valid_address(self, address: str) -> bool:
        """Returns whether connections to an address can be attempted."""
        return self._network.is_valid_address(address)

    async def connect(self, address: str, purpose: str) -> PeerConnection:
        """Opens a connection and completes the handshake.

        Args:
            address: `IP:PORT` of the other node's peer listener.
            purpose: `exchange`, `claims`, `control` or `usage`; it selects the
                handler on the other node.

        Raises:
            OSError: The other node is unreachable.
            PeerSilentError: The handshake did not complete in time.
            TruncatedError: The other node closed the connection.
            ProtocolError: The other node rejected the connection or did not
                follow the handshake.
        """
        with trio.move_on_after(CONNECT_SECONDS):
            stream = await self._network.connect(address)
            conn = PeerConnection(stream, address)
            try:
                await self._authenticate(conn, purpose)
            except BaseException:
                await conn.aclose()
                raise
            return conn
        raise PeerSilentError(
            f"no connection within {CONNECT_SECONDS} s",
            step="connect_peer",
            peer=address,
        )

    async def _authenticate(self, conn: PeerConnection, purpose: str) -> None:
        challenge = await conn.receive()
        if not isinstance(challenge, Challenge):
            raise ProtocolError(
                "expected a challenge", step="connect_peer", peer=conn.peer
            )
        await conn.send(self._identity.make_hello(purpose, challenge.nonce))
        response = await conn.receive()
        if not isinstance(response, Welcome):
            raise ProtocolError(
                f"connection refused: {response}",
                step="connect_peer",
                peer=conn.peer,
            )
        conn.peer = response.node_id
