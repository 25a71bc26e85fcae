"""Answers the requests of callers."""

from contextlib import AsyncExitStack, ExitStack

import h11
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution import (
    Body,
    BytesBody,
    Headers,
    Request,
    Response,
)
from rhubarbpaddle.execution.body_memory import BodyMemory
from rhubarbpaddle.execution.caller_left_refusal import (
    make_caller_left_refusal,
)
from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.execution.concurrent_run import may_run_concurrently
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.failed_body_refusal import (
    make_failed_body_refusal,
)
from rhubarbpaddle.execution.held_body import HeldBody
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.http.caller_dialect import CallerDialect
from rhubarbpaddle.http.h11_body import H11Body
from rhubarbpaddle.http.read_request import ReadRequest
from rhubarbpaddle.http.request_pipeline import RequestPipeline
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.network import Network
from rhubarbpaddle.telemetry import Metrics, get_logger

# Bodies up to this length are buffered before an instance is chosen, so that
# the request can be retried.
_MAX_BUFFERED_BODY_BYTES = 16 * 1024
# How much of a streamed response is read before its turn.
_MAX_BODY_BYTES_AHEAD = 256 * 1024

_log = get_logger("caller")


class RequestAnswerer:
    """Runs requests that were read, and sends their responses or refusals.

    Attributes:
        closing: Whether the last response of each connection closes it.
        draining: Whether requests that are read from now on are refused.
    """

    def __init__(
        self,
        gateway: RequestHandler,
        clock: Clock,
        metrics: Metrics,
        dialect: CallerDialect,
        network: Network,
        deadline_limit: DeadlineLimit,
    ) -> None:
        self.closing = False
        self.draining = False
        self._gateway = gateway
        self._clock = clock
        self._metrics = metrics
        self._dialect = dialect
        self._network = network
        self._deadline_limit = deadline_limit
        self._ahead_memory = BodyMemory()

    def take_request(
        self,
        conn: ServerConnection,
        head: h11.Request,
        body: H11Body,
        presence: CallerPresence,
    ) -> ReadRequest:
        """Finds out what a head that was just read represents."""
        request_id = self._dialect.get_request_id(head)
        request, refusal = None, None
        read_at = self._clock.monotonic()
        try:
            if presence.has_disconnected():
                self.record_disconnected(request_id, "read")
                raise make_caller_left_refusal("receive_request")
            if self.draining:
                raise RefusedError(
                    "node_leaving", "the node is shutting down", step="route"
                )
            request = self._dialect.make_request(head, conn.peer, request_id)
        except RefusedError as exc:
            refusal = exc
        return ReadRequest(
            head, body, request_id, read_at, presence, request, refusal
        )

    def record_disconnected(self, request_id: str, stage: str) -> None:
        """Records that a caller disconnected before its response.

        Args:
            request_id: The id of its request.
            stage: `read` if the request had not started, else `running`.
        """
        self._metrics.record_caller_disconnect(stage)
        _log.notice(
            "caller_left",
            request_id=request_id,
            stage=stage,
        )

    async def answer(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        read: ReadRequest,
        turn: trio.Event | None,
    ) -> None:
        """Runs a request and sends its response.

        Args:
            conn: The connection.
            pipeline: The requests behind this one.
            read: The request.
            turn: Set once the response may be sent; None if it is the first of
                the connection.
        """
        service = "-"
        try:
            request = read.request
            if request is None:
                assert read.refusal is not None
                if (
                    read.body.length == 0
                    and not conn.h11.they_are_waiting_for_100_continue
                ):
                    # Nothing follows the head, so the connection is reusable.
                    await read.body.receive()
                raise read.refusal
            service = request.service
            buffered: Body = BytesBody(b"")
            if turn is None:
                # Reading the body sends `100 Continue` to a caller that expects
                # it, which must wait until an instance has admitted the
                # request.
                expects_continue = conn.h11.they_are_waiting_for_100_continue
                buffered = (
                    read.body
                    if expects_continue
                    else await _buffer_body(read.body)
                )
                pipeline.set_open(
                    read.body.complete
                    and read.body.length == 0
                    and conn.h11.their_state is h11.DONE
                    and may_run_concurrently(request)
                )
            request = self._deadline_limit.apply(request)
            request = request._replace(caller=read.presence)
            method = read.head.method
            if turn is None:
                async with self._gateway.handle(request, buffered) as response:
                    await self._send_response(conn, pipeline, method, response)
            else:
                response = await self._answer_in_turn(
                    conn, pipeline, method, request, turn
                )
            elapsed = self._clock.monotonic() - read.read_at
            self._metrics.record_request(
                self._dialect.get_metrics_label(request),
                service,
                response.status,
                elapsed,
            )
            if turn is not None:
                self._metrics.record_pipelined("answered")
            _log.info(
                "request_answered",
                request_id=read.request_id,
                service=service,
                status=response.status,
                ms=round(elapsed * 1000),
            )
        except RefusedError as exc:
            if turn is not None:
                await turn.wait()
            await self.refuse(
                conn, pipeline, read.head.method, service, read.request_id, exc
            )

    async def _answer_in_turn(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        method: bytes,
        request: Request,
        turn: trio.Event,
    ) -> Response:
        """Runs a request at once and sends its response in its turn.

        A response that is in memory before its turn ends the exchange, so that
        it occupies neither a slot of the instance nor a connection while it
        waits. The request in front of it may need that slot.

        Returns:
            The response, which was sent.

        Raises:
            RefusedError: There is no response, or its body could not be read.
        """
        with ExitStack() as held_bodies:
            async with AsyncExitStack() as exchange:
                response = await exchange.enter_async_context(
                    self._gateway.handle(request, BytesBody(b""))
                )
                if not turn.is_set():
                    response = await self._read_ahead(
                        held_bodies, request, response
                    )
                    if _is_in_memory(response.body):
                        await exchange.aclose()
                    await turn.wait()
                await self._send_response(conn, pipeline, method, response)
        return response

    async def _read_ahead(
        self, stack: ExitStack, request: Request, response: Response
    ) -> Response:
        """Reads the first part of a streamed response into memory.

        Args:
            stack: Holds the memory of the body.
            request: The request.
            response: Its response.

        Raises:
            RefusedError: The body could not be read.
        """
        if isinstance(response.body, BytesBody):
            return response
        held_body = stack.enter_context(
            HeldBody.hold(response.body, self._ahead_memory)
        )
        try:
            await held_body.read_ahead(
                _MAX_BODY_BYTES_AHEAD, request.useful_until, self._clock
            )
        except RhubarbpaddleError as exc:
            raise make_failed_body_refusal(exc) from exc
        return response._replace(body=held_body)

    async def _send_response(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        method: bytes,
        response: Response,
    ) -> None:
        headers = [
            *response.headers,
            *self._dialect.get_response_headers(),
            *self._get_connection_headers(pipeline),
        ]
        await conn.send_response(
            method, response.status, headers, response.body
        )

    def _get_connection_headers(
        self, pipeline: RequestPipeline | None
    ) -> Headers:
        """Returns `Connection: close` for the last response.

        Requests that were read ahead are answered before it.
        """
        if self.closing and (pipeline is None or pipeline.close()):
            return [(b"connection", b"close")]
        return []

    async def refuse(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline | None,
        method: bytes,
        service: str,
        request_id: str,
        exc: RefusedError,
    ) -> None:
        """Sends a refusal, or resets the connection if that is impossible.

        Args:
            conn: The connection.
            pipeline: The requests behind the refused one, if known.
            method: The method of the request.
            service: The requested service, or `-`.
            request_id: The request's id, or `-`.
            exc: The refusal.
        """
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
        headers = [*headers, *self._get_connection_headers(pipeline)]
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


def _is_in_memory(body: Body) -> bool:
    return isinstance(body, BytesBody) or (
        isinstance(body, HeldBody) and body.complete
    )
