"""HTTP/1.1 client for short exchanges with one service."""

import h11
import trio

from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.http.service_response import ServiceResponse
from rhubarbpaddle.network import Network

_MAX_IDLE_CONNECTIONS = 32


class ServiceClient:
    """Sends requests over pooled connections and returns whole responses.

    A connection carries one exchange at a time and is reused only after the
    response was read completely.
    """

    def __init__(
        self, network: Network, address: str, connect_seconds: float
    ) -> None:
        """Creates a client without connections.

        Args:
            network: Opens connections.
            address: The service's `IP:PORT`.
            connect_seconds: The timeout for opening a connection.
        """
        self.address = address
        self._network = network
        self._connect_seconds = connect_seconds
        self._idle: list[ClientConnection] = []

    @property
    def has_idle(self) -> bool:
        """Whether the pool holds idle connections, which may be dead."""
        return bool(self._idle)

    async def acquire(self) -> ClientConnection:
        """Returns an idle connection or opens a new one.

        Raises:
            OSError: The service refuses connections or is unreachable.
            trio.TooSlowError: The connection was not opened in time.
        """
        while self._idle:
            conn = self._idle.pop()
            if not self._network.has_input(conn.stream):
                return conn
            await conn.aclose()
        with trio.fail_after(self._connect_seconds):
            stream = await self._network.connect(self.address)
        return ClientConnection(stream, self.address)

    async def release(self, conn: ClientConnection) -> None:
        """Returns a connection to the pool, or closes it.

        It is kept only if its exchange is complete and the pool is not full.
        """
        if conn.is_reusable() and len(self._idle) < _MAX_IDLE_CONNECTIONS:
            conn.h11.start_next_cycle()
            self._idle.append(conn)
        else:
            await conn.aclose()

    async def purge(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def exchange(
        self, conn: ClientConnection, method: str, target: str, payload: bytes
    ) -> ServiceResponse:
        """Sends a request and returns the whole response.

        Raises:
            RhubarbpaddleError: The connection failed; the request may have
                taken effect.
        """
        head = h11.Request(
            method=method,
            target=target,
            headers=[
                ("host", self.address),
                ("content-length", str(len(payload))),
            ],
        )
        await conn.send_request(head, BytesBody(payload))
        response, body = await conn.receive_response()
        content = bytearray()
        while chunk := await body.receive():
            content += chunk
        return ServiceResponse(
            response.status_code, tuple(response.headers), bytes(content)
        )
