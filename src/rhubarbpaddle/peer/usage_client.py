"""Client of the queries about usage caps."""

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import PeerSilentError, RhubarbpaddleError
from rhubarbpaddle.network import Network
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.messages import UsageRequest, UsageResponse
from rhubarbpaddle.peer.pool import PeerPool
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_query import UsageQuery

PURPOSE = "usage"
# At 76 nodes and 930 requests a second, a gateway asks each owner once in 6 s.
# A new connection for each query would cost three more round trips.
_MAX_IDLE_SECONDS = 60.0
# At 800 nodes a gateway reuses as many connections with this bound as without
# one, because most queries are about few organisations.
MAX_IDLE = 128


class UsageClient:
    """Sends queries about usage caps to other nodes."""

    def __init__(
        self, network: Network, connector: PeerConnector, clock: Clock
    ) -> None:
        self._clock = clock
        self._pool = PeerPool(
            network, connector, clock, PURPOSE, _MAX_IDLE_SECONDS, MAX_IDLE
        )

    async def ask(
        self, address: str, query: UsageQuery, until: float
    ) -> UsageGrant:
        """Returns the response of another node; see `OwnerClient.ask`."""
        with trio.move_on_at(until):
            return await self._exchange(address, query)
        # The idle connections may be silent although the node is reachable.
        await self._pool.purge(address)
        raise PeerSilentError(
            "no response to a usage query", step="ask_usage", peer=address
        )

    async def _exchange(self, address: str, query: UsageQuery) -> UsageGrant:
        while True:
            conn = await self._pool.acquire(address)
            is_reused = conn.idle_since > 0
            try:
                return await self._exchange_on(conn, address, query)
            except RhubarbpaddleError:
                await self._pool.purge(address)
                if not is_reused:
                    raise

    async def _exchange_on(
        self, conn: PeerConnection, address: str, query: UsageQuery
    ) -> UsageGrant:
        completed = False
        try:
            await conn.send(UsageRequest(query))
            response = await conn.receive()
            if not isinstance(response, UsageResponse):
                raise conn.make_unexpected_error(response, "ask_usage")
            completed = True
        finally:
            # A late response must not be taken for that of the next query.
            if not completed:
                await conn.aclose()
        await self._pool.release(address, conn)
        return response.grant
