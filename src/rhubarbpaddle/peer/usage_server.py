"""Server of the queries about usage caps."""

from collections.abc import Callable

from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import Hello, UsageRequest, UsageResponse
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_query import UsageQuery


class UsageServer:
    """Responds to gateways, one query at a time on each connection."""

    def __init__(self, grant: Callable[[UsageQuery], UsageGrant]) -> None:
        self._grant = grant

    async def serve(self, conn: PeerConnection, hello: Hello) -> None:
        """Responds to the queries of one connection until it closes."""
        while True:
            message = await conn.receive()
            if not isinstance(message, UsageRequest):
                raise ProtocolError(
                    f"expected a usage query, got {type(message).__name__}",
                    step="receive_usage_query",
                    peer=conn.peer,
                )
            await conn.send(UsageResponse(self._grant(message.query)))
