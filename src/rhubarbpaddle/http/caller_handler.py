"""Serves callers over HTTP/1.1."""

import secrets
from collections.abc import Callable

import h11
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration import AcceptedConfiguration
from rhubarbpaddle.exceptions import (
    ProtocolError,
    RefusedError,
    RhubarbpaddleError,
)
from rhubarbpaddle.execution import Body, BytesBody, Request
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.http.event_body import EventBody
from rhubarbpaddle.http.headers import get_header, remove_hop_by_hop
from rhubarbpaddle.http.problem import make_problem
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.telemetry import Metrics, get_logger

# Bodies up to this length are read before an instance is chosen, so that the
# request can be sent again.
_BUFFERED_BODY_BYTES = 16 * 1024
_REQUEST_ID_BYTES = 8

_log = get_logger("caller")


class CallerHandler:
    """Serves the connections of callers, one task for each."""

    def __init__(
        self,
        gateway: RequestHandler,
        clock: Clock,
        metrics: Metrics,
        get_accepted: Callable[[], AcceptedConfiguration | None],
    ) -> None:
        self._gateway = gateway
        self._clock = clock
        self._metrics = metrics
        self._get_accepted = get_accepted

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it ends."""
        conn = ServerConnection(stream, "caller")
        try:
            while received := await conn.receive_request():
                await self._serve_request(conn, *received)
                if not conn.start_next_cycle():
                    break
        except ProtocolError as exc:
            await self._reject(conn, exc)
        except RhubarbpaddleError as exc:
            _log.info("caller_connection_ended", error=exc)
        finally:
            await conn.aclose()

    async def _serve_request(
        self, conn: ServerConnection, head: h11.Request, body: EventBody
    ) -> None:
        request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        started = self._clock.monotonic()
        service = "-"
        try:
            request = self._make_request(head, request_id)
            service = request.service
            buffered = await _buffer_body(body)
            async with self._gateway.handle(request, buffered) as response:
                await conn.send_response(
                    head.method,
                    response.status,
                    response.headers,
                    response.body,
                )
            self._metrics.record_request(
                request.tenant,
                service,
                response.status,
                self._clock.monotonic() - started,
            )
        except RefusedError as exc:
            self._metrics.record_refusal(service, exc.code, exc.outcome)
            _log.info("request_refused", request_id=request_id, error=exc)
            headers, content = make_problem(exc, request_id)
            await conn.send_response(
                head.method, exc.status, headers, BytesBody(content)
            )

    async def _reject(self, conn: ServerConnection, exc: ProtocolError) -> None:
        if conn.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        refusal = RefusedError(
            "bad_request", exc.detail, step=exc.step, status=400
        )
        headers, content = make_problem(refusal, "-")
        try:
            await conn.send_response(b"GET", 400, headers, BytesBody(content))
        except RhubarbpaddleError as error:
            _log.info("caller_connection_ended", error=error)

    def _make_request(self, head: h11.Request, request_id: str) -> Request:
        headers = remove_hop_by_hop(head.headers)
        service_name = get_header(headers, b"rhubarbpaddle-service")
        host = get_header(headers, b"host") or ""
        name = service_name or host.partition(".")[0].partition(":")[0]
        accepted = self._get_accepted()
        if accepted is None:
            raise RefusedError(
                "not_ready", "no configuration is in force", step="route"
            )
        service = accepted.configuration.services.get(name)
        if service is None:
            raise RefusedError(
                "unknown_service",
                f"there is no service {name!r}",
                step="route",
                status=404,
            )
        method = head.method.decode("ascii")
        target = head.target.decode("ascii")
        timeout = service.timeout.total_seconds()
        timeout_ms = get_header(headers, b"rhubarbpaddle-timeout-ms")
        if timeout_ms is not None and timeout_ms.isdigit():
            timeout = min(timeout, int(timeout_ms) / 1000)
        return Request(
            request_id=request_id,
            tenant=get_header(headers, b"rhubarbpaddle-tenant") or "default",
            service=name,
            method=method,
            target=target,
            headers=[
                (key, value)
                for key, value in headers
                if key not in (b"content-length", b"expect")
            ],
            deadline=self._clock.monotonic() + timeout,
            idempotent=service.is_idempotent(method, target),
            key=get_header(headers, b"idempotency-key") or "",
        )


async def _buffer_body(body: EventBody) -> Body:
    if body.length is None or body.length > _BUFFERED_BODY_BYTES:
        return body
    content = bytearray()
    while part := await body.receive():
        content += part
    return BytesBody(bytes(content))
