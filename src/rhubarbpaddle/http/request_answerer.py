"""Answers the requests of callers."""

import h11
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import (
    Body,
    BytesBody,
)
from rhubarbpaddle.execution.caller_left_refusal import (
    make_caller_left_refusal,
)
from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.execution.concurrent_run import may_run_concurrently
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.http.caller_dialect import CallerDialect
from rhubarbpaddle.http.h11_body import H11Body
from rhubarbpaddle.http.pipelined_runner import PipelinedRunner
from rhubarbpaddle.http.read_request import ReadRequest
from rhubarbpaddle.http.request_pipeline import RequestPipeline
from rhubarbpaddle.http.response_sender import ResponseSender
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.telemetry import Metrics, get_logger

# Bodies up to this length are buffered before an instance is chosen, so that
# the request can be retried.
_MAX_BUFFERED_BODY_BYTES = 16 * 1024

_log = get_logger("caller")


class RequestAnswerer:
    """Runs requests that were read, until they are answered or refused.

    Attributes:
        draining: Whether requests that are read from now on are refused.
    """

    def __init__(
        self,
        gateway: RequestHandler,
        clock: Clock,
        metrics: Metrics,
        dialect: CallerDialect,
        sender: ResponseSender,
        deadline_limit: DeadlineLimit,
    ) -> None:
        """Creates an answerer that accepts requests.

        Args:
            gateway: Handles the requests.
            clock: The source of time.
            metrics: Gets the results of requests.
            dialect: Makes requests of their heads.
            sender: Sends responses and refusals.
            deadline_limit: Brings deadlines forward during a shutdown.
        """
        self.draining = False
        self._gateway = gateway
        self._clock = clock
        self._metrics = metrics
        self._dialect = dialect
        self._sender = sender
        self._deadline_limit = deadline_limit
        self._pipelined = PipelinedRunner(gateway, sender, clock)

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
                    await self._sender.send(conn, pipeline, method, response)
            else:
                response = await self._pipelined.run(
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
            await self._sender.refuse(
                conn, pipeline, read.head.method, service, read.request_id, exc
            )


async def _buffer_body(body: H11Body) -> Body:
    if body.length is None or body.length > _MAX_BUFFERED_BODY_BYTES:
        return body
    content = bytearray()
    while chunk := await body.receive():
        content += chunk
    return BytesBody(bytes(content))
