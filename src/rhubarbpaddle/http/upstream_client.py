"""Sends requests to the upstream beside this node."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import h11
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution import Body, BytesBody, Request, Response
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.http.headers import remove_hop_by_hop
from rhubarbpaddle.network import Network
from rhubarbpaddle.outcome import Outcome

_CONNECT_SECONDS = 1.0


class HttpUpstreamClient:
    """Keeps at most a fixed number of connections to one upstream."""

    def __init__(
        self, network: Network, clock: Clock, address: str, connections: int
    ) -> None:
        self._network = network
        self._clock = clock
        self._address = address
        self._limit = trio.CapacityLimiter(connections)
        self._idle: list[ClientConnection] = []

    @asynccontextmanager
    async def send(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Sends a request and returns its answer."""
        async with self._limit:
            conn = await self._acquire(request)
            try:
                yield await self._exchange(conn, request, body)
            finally:
                await self._release(conn)

    async def aclose(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _acquire(self, request: Request) -> ClientConnection:
        while self._idle:
            conn = self._idle.pop()
            if not self._network.has_input(conn.stream):
                return conn
            await conn.aclose()
        try:
            with trio.fail_after(_CONNECT_SECONDS):
                stream = await self._network.connect(self._address)
        except (OSError, trio.TooSlowError) as exc:
            raise RefusedError(
                "upstream_unreachable",
                f"no connection to the upstream: {exc}",
                step="connect_upstream",
                peer=self._address,
                may_retry=True,
            ) from exc
        return ClientConnection(stream, self._address)

    async def _release(self, conn: ClientConnection) -> None:
        if conn.is_reusable():
            conn.h11.start_next_cycle()
            self._idle.append(conn)
        else:
            await conn.aclose()

    async def _exchange(
        self, conn: ClientConnection, request: Request, body: Body
    ) -> Response:
        head = _make_head(request, body, self._address)
        time_left = request.deadline - self._clock.monotonic()
        try:
            await conn.send_request(head, body)
            with trio.fail_after(max(time_left, 0)):
                response, response_body = await conn.receive_response()
        except trio.TooSlowError as exc:
            raise _make_refusal(
                "upstream_timeout",
                "the upstream did not answer before the deadline",
                self._address,
                504,
            ) from exc
        except RhubarbpaddleError as exc:
            raise _make_refusal(
                "upstream_lost", str(exc), self._address, 502
            ) from exc
        if request.method == "HEAD" or response.status_code in (204, 304):
            await response_body.receive()
            headers = remove_hop_by_hop(response.headers)
            return Response(response.status_code, headers, BytesBody(b""), None)
        headers = [
            (key, value)
            for key, value in remove_hop_by_hop(response.headers)
            if key != b"content-length"
        ]
        return Response(response.status_code, headers, response_body, None)


def _make_head(request: Request, body: Body, address: str) -> h11.Request:
    headers = list(request.headers)
    if body.length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif body.length or request.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", str(body.length).encode()))
    if not any(key == b"host" for key, _ in headers):
        headers.append((b"host", address.encode()))
    return h11.Request(
        method=request.method, target=request.target, headers=headers
    )


def _make_refusal(
    code: str, detail: str, address: str, status: int
) -> RefusedError:
    return RefusedError(
        code,
        detail,
        step="run_request",
        peer=address,
        status=status,
        outcome=Outcome.UNKNOWN,
        may_retry=status == 502,
    )
