"""Health checks of an instance over HTTP/1.1."""

from collections.abc import Callable

import h11

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.http.upstream_dialect import RawHeaders
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.network import Network


class HttpHealthClient:
    """Sends `GET` to the health path over a persistent connection."""

    def __init__(
        self,
        network: Network,
        address: str,
        path: str,
        parse_reading: Callable[[RawHeaders], InstanceReading | None],
    ) -> None:
        """Creates a client that is not connected yet.

        Args:
            network: Opens connections.
            address: The instance's `IP:PORT`.
            path: The path of the health check.
            parse_reading: Parses the load from the headers of a response;
                returns None if they do not contain it.
        """
        self._network = network
        self._address = address
        self._path = path
        self._parse_reading = parse_reading
        self._conn: ClientConnection | None = None

    async def check(self) -> InstanceReading | None:
        """Runs a health check.

        Returns:
            The instance's health and load, or None if the response does not
            contain the load.

        Raises:
            OSError: The instance is unreachable.
            RhubarbpaddleError: The exchange failed.
        """
        conn_to_reuse, self._conn = self._conn, None
        if conn_to_reuse is not None:
            try:
                return await self._exchange(conn_to_reuse)
            except RhubarbpaddleError:
                # The instance may have closed the idle connection; retry on a
                # new one.
                pass
        stream = await self._network.connect(self._address)
        return await self._exchange(ClientConnection(stream, self._address))

    async def aclose(self) -> None:
        """Closes the connection if it is open."""
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.aclose()

    async def _exchange(self, conn: ClientConnection) -> InstanceReading | None:
        finished = False
        try:
            head = h11.Request(
                method="GET",
                target=self._path,
                headers=[("host", self._address)],
            )
            await conn.send_request(head, BytesBody(b""))
            response, body = await conn.receive_response()
            while await body.receive():
                pass
            finished = conn.is_reusable()
        finally:
            if finished:
                conn.h11.start_next_cycle()
                self._conn = conn
            else:
                await conn.aclose()
        reading = self._parse_reading(response.headers)
        if reading is None:
            return None
        return reading._replace(healthy=response.status_code == 200)
