"""HTTP/1.1 server for callers."""

import h11
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution import (
    Body,
    BytesBody,
    Headers,
    Response,
)
from rhubarbpaddle.execution.caller_left_refusal import (
    make_caller_left_refusal,
)
from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.http.caller_dialect import CallerDialect
from rhubarbpaddle.http.h11_body import H11Body
from rhubarbpaddle.http.idle_connections import IdleConnections
from rhubarbpaddle.http.limits import DEFAULT_LIMITS, CallerLimits
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.network import Network
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.stream_watch import StreamWatch
from rhubarbpaddle.telemetry import Metrics, get_logger
from rhubarbpaddle.work_count import WorkCount

# Bodies up to this length are buffered before an instance is chosen, so that
# the request can be retried.
_MAX_BUFFERED_BODY_BYTES = 16 * 1024

_log = get_logger("caller")


class CallerHandler:
    """Serves the connections of callers, one task for each.

    Attributes:
        work: Counts the requests in progress, until their responses were sent.
    """

    def __init__(
        self,
        gateway: RequestHandler,
        clock: Clock,
        metrics: Metrics,
        dialect: CallerDialect,
        network: Network,
        watch: StreamWatch,
        deadline_limit: DeadlineLimit,
        limits: CallerLimits = DEFAULT_LIMITS,
    ) -> None:
        self._gateway = gateway
        self._clock = clock
        self._metrics = metrics
        self._dialect = dialect
        self._network = network
        self._watch = watch
        self._deadline_limit = deadline_limit
        self._limits = limits
        self._idle = IdleConnections(limits.idle_connections)
        self._closing = False
        self._draining = False
        self.work = WorkCount()

    def announce_close(self) -> None:
        """Adds `Connection: close` to each response from now on."""
        self._closing = True

    def drain(self) -> None:
        """Closes idle connections now and the others after their response.

        Requests that arrive later are refused as `not-run`.
        """
        self._closing = True
        self._draining = True
        self._idle.close_all(self._network.has_input)

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it closes."""
        address = self._network.get_remote_address(stream)
        conn = ServerConnection(stream, address, self._limits)
        try:
            with conn.scope:
                await self._serve(conn)
            conn.raise_if_head_timed_out()
        except RefusedError as exc:
            await self._send_refusal(conn, b"GET", "-", "-", exc)
            await conn.discard_input()
        except RhubarbpaddleError as exc:
            # A truncated response must not look complete, not even one whose
            # end is marked by the close of the connection, so reset it.
            self._network.reset_on_close(stream)
            _log.info("caller_connection_ended", error=exc)
        except Exception as exc:
            _log.error("caller_connection_failed", reason=repr(exc))
            failure = RefusedError(
                "internal",
                "internal error; see the node's log",
                step="serve_request",
                status=500,
                outcome=Outcome.UNKNOWN,
            )
            self._network.reset_on_close(stream)
            await self._send_refusal(conn, b"GET", "-", "-", failure)
        finally:
            self._idle.remove(conn)
            await conn.aclose()

    async def _serve(self, conn: ServerConnection) -> None:
        while True:
            self._idle.add(conn)
            received = await conn.receive_request()
            self._idle.remove(conn)
            if received is None:
                return
            with self.work:
                presence = self._watch.add(conn, conn.scope)
                try:
                    await self._serve_request(conn, *received, presence)
                except trio.Cancelled:
                    if conn.scope.cancel_called:
                        self._record_disconnected(received[0], "running")
                    raise
                finally:
                    self._watch.remove(conn)
                if not conn.start_next_cycle():
                    await conn.discard_input()
                    return

    def _record_disconnected(self, head: h11.Request, stage: str) -> None:
        """Records that a caller disconnected before its response.

        Args:
            head: The head of its request.
            stage: `read` if the request had not started, else `running`.
        """
        self._metrics.record_caller_disconnect(stage)
        _log.notice(
            "caller_left",
            request_id=self._dialect.get_request_id(head),
            stage=stage,
        )

    async def _serve_request(
        self,
        conn: ServerConnection,
        head: h11.Request,
        body: H11Body,
        presence: CallerPresence,
    ) -> None:
        request_id = self._dialect.get_request_id(head)
        started = self._clock.monotonic()
        service = "-"
        try:
            if presence.has_disconnected():
                self._record_disconnected(head, "read")
                raise make_caller_left_refusal("receive_request")
            if self._draining:
                raise RefusedError(
                    "node_leaving", "the node is shutting down", step="route"
                )
            request = self._dialect.make_request(head, conn.peer, request_id)
            service = request.service
            # Reading the body sends `100 Continue` to a caller that expects
            # it, which must wait until an instance has admitted the request.
            expects_continue = conn.h11.they_are_waiting_for_100_continue
            buffered = body if expects_continue else await _buffer_body(body)
            request = self._deadline_limit.apply(request)
            request = request._replace(caller=presence)
            async with self._gateway.handle(request, buffered) as response:
                await self._send_response(conn, head.method, response)
            elapsed = self._clock.monotonic() - started
            self._metrics.record_request(
                self._dialect.get_metrics_label(request),
                service,
                response.status,
                elapsed,
            )
            _log.info(
                "request_answered",
                request_id=request_id,
                service=service,
                status=response.status,
                ms=round(elapsed * 1000),
            )
        except RefusedError as exc:
            await self._send_refusal(
                conn, head.method, service, request_id, exc
            )

    async def _send_response(
        self, conn: ServerConnection, method: bytes, response: Response
    ) -> None:
        headers = [
            *response.headers,
            *self._dialect.get_response_headers(),
            *self._get_connection_headers(),
        ]
        await conn.send_response(
            method, response.status, headers, response.body
        )

    def _get_connection_headers(self) -> Headers:
        return [(b"connection", b"close")] if self._closing else []

    async def _send_refusal(
        self,
        conn: ServerConnection,
        method: bytes,
        service: str,
        request_id: str,
        exc: RefusedError,
    ) -> None:
        self._metrics.record_refusal(service, exc.code, exc.outcome)
        _log.notice(
            "request_refused",
            request_id=request_id,
            service=service,
            status=exc.status,
            outcome=exc.outcome,
            error=exc,
        )
        if not conn.can_respond():
            self._network.reset_on_close(conn.stream)
            return
        status, headers, content = self._dialect.make_refusal(exc, request_id)
        headers = [*headers, *self._get_connection_headers()]
        try:
            await conn.send_response(
                method, status, headers, BytesBody(content)
            )
        except RhubarbpaddleError as error:
            _log.info("caller_connection_ended", error=error)


async def _buffer_body(body: H11Body) -> Body:
    if body.length is None or body.length > _MAX_BUFFERED_BODY_BYTES:
        return body
    content = bytearray()
    while chunk := await body.receive():
        content += chunk
    return BytesBody(bytes(content))
