"""Server of the queries about usage caps."""

from collections.abc import Callable

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.idle_peer_connections import IdlePeerConnections
from rhubarbpaddle.peer.messages import Hello, UsageRequest, UsageResponse
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_query import UsageQuery

# An idle connection takes 5.9 KiB, so these take 1 MiB: with those of the
# gateway, as much as a fleet of 800 nodes leaves of a node's 32 MB.
MAX_IDLE = 180
# The owner of a busy organisation is asked by each gateway about once a second.
# A query on a new connection takes it 0.25 ms of processor time, one on an open
# connection 0.03 ms.
MIN_IDLE_SECONDS = 2.0


class UsageServer:
    """Responds to gateways, one query at a time on each connection."""

    def __init__(
        self, grant: Callable[[UsageQuery], UsageGrant], clock: Clock
    ) -> None:
        self._grant = grant
        self._idle = IdlePeerConnections(MAX_IDLE, MIN_IDLE_SECONDS, clock)

    async def serve(self, conn: PeerConnection, hello: Hello) -> None:
        """Responds to the queries of one connection until it closes."""
        with trio.CancelScope() as scope:
            while True:
                self._idle.add(conn, scope)
                try:
                    message = await conn.receive()
                finally:
                    self._idle.remove(conn)
                if scope.cancel_called:
                    # The response would not be sent and its tokens be lost. The
                    # gateway asks again on a new connection.
                    return
                if not isinstance(message, UsageRequest):
                    raise ProtocolError(
                        f"expected a usage query, got {type(message).__name__}",
                        step="receive_usage_query",
                        peer=conn.peer,
                    )
                await conn.send(UsageResponse(self._grant(message.query)))
