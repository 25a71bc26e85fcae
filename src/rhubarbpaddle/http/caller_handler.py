"""HTTP/1.1 server for callers."""

from contextlib import ExitStack

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
from rhubarbpaddle.http.idle_connections import IdleConnections
from rhubarbpaddle.http.limits import DEFAULT_LIMITS, CallerLimits
from rhubarbpaddle.http.pipelined_request import PipelinedRequest
from rhubarbpaddle.http.read_request import ReadRequest
from rhubarbpaddle.http.request_pipeline import RequestPipeline
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.network import Network
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.stream_watch import StreamWatch
from rhubarbpaddle.telemetry import Metrics, get_logger
from rhubarbpaddle.work_count import WorkCount

# Bodies up to this length are buffered before an instance is chosen, so that
# the request can be retried.
_MAX_BUFFERED_BODY_BYTES = 16 * 1024

# How much of a streamed response is read before its turn.
_MAX_BODY_BYTES_AHEAD = 256 * 1024

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
        self._ahead_count = 0
        self._ahead_memory = BodyMemory()
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
            await self._send_refusal(conn, None, b"GET", "-", "-", exc)
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
            await self._send_refusal(conn, None, b"GET", "-", "-", failure)
        finally:
            self._idle.remove(conn)
            await conn.aclose()

    def may_read_ahead(self) -> bool:
        """Returns whether requests behind the current one may be read."""
        return not self._closing

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
                self._record_disconnected(request_id, "read")
                raise make_caller_left_refusal("receive_request")
            if self._draining:
                raise RefusedError(
                    "node_leaving", "the node is shutting down", step="route"
                )
            request = self._dialect.make_request(head, conn.peer, request_id)
        except RefusedError as exc:
            refusal = exc
        return ReadRequest(
            head, body, request_id, read_at, presence, request, refusal
        )

    def try_begin_ahead(self) -> bool:
        """Counts a request that runs ahead, unless too many do on the node."""
        if self._ahead_count >= self._limits.node_requests_ahead:
            return False
        self._ahead_count += 1
        return True

    async def run_ahead(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        entry: PipelinedRequest,
    ) -> None:
        """Runs a request, and sends its response when its turn has come."""
        assert entry.read is not None
        try:
            with entry.scope:
                await self._answer(conn, pipeline, entry.read, entry.turn)
        except trio.Cancelled:
            if conn.scope.cancel_called:
                self._record_disconnected(entry.read.request_id, "running")
            raise
        except Exception as exc:
            # Raised by the connection's own task.
            entry.error = exc
        finally:
            self._ahead_count -= 1
            self.work.end()
            entry.ended.set()

    async def _serve(self, conn: ServerConnection) -> None:
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            pipeline = RequestPipeline(
                conn, self._network, self._limits, nursery, self, self.work
            )
            try:
                await self._serve_in_order(conn, pipeline)
            except Exception as exc:
                failure = exc
            finally:
                # The watch must not start a task in a closed nursery.
                self._watch.remove(conn)
                self._discard_queued(conn, pipeline)
                nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _serve_in_order(
        self, conn: ServerConnection, pipeline: RequestPipeline
    ) -> None:
        while True:
            self._idle.add(conn)
            received = await conn.receive_request()
            self._idle.remove(conn)
            if received is None:
                return
            with self.work:
                presence = self._watch.add(
                    conn, conn.scope, pipeline.handle_input
                )
                read = self.take_request(conn, *received, presence)
                if not await self._serve_request(conn, pipeline, read, None):
                    return
            while pipeline.is_used() and (entry := await pipeline.take_next()):
                if not await self._serve_pipelined(conn, pipeline, entry):
                    return

    async def _serve_pipelined(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        entry: PipelinedRequest,
    ) -> bool:
        """Answers a request that was read ahead, now that its turn has come.

        Returns:
            False if the connection can't be reused.
        """
        with self.work:
            try:
                if entry.read is None:
                    assert entry.error is not None
                    raise entry.error
                self._watch.add(conn, conn.scope, pipeline.handle_input)
                return await self._serve_request(
                    conn, pipeline, entry.read, entry
                )
            finally:
                if not entry.runs_ahead:
                    self.work.end()

    async def _serve_request(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        read: ReadRequest,
        entry: PipelinedRequest | None,
    ) -> bool:
        """Answers a request of a connection that the watch checks.

        Args:
            conn: The connection.
            pipeline: The requests behind this one.
            read: The request.
            entry: The same if it was read ahead, else None.

        Returns:
            False if the connection can't be reused.
        """
        try:
            if entry is not None and entry.runs_ahead:
                entry.turn.set()
                await entry.ended.wait()
                if entry.error is not None:
                    raise entry.error
            else:
                await self._answer(conn, pipeline, read, None)
        except trio.Cancelled:
            if conn.scope.cancel_called and not (entry and entry.runs_ahead):
                self._record_disconnected(read.request_id, "running")
            raise
        finally:
            self._watch.remove(conn)
        if conn.start_next_cycle():
            return True
        self._discard_queued(conn, pipeline)
        await pipeline.wait_stopped()
        await conn.discard_input()
        return False

    def _discard_queued(
        self, conn: ServerConnection, pipeline: RequestPipeline
    ) -> None:
        """Cancels the requests behind a response that ends the connection."""
        count = pipeline.cancel()
        if count:
            self._metrics.record_pipelined("discarded", count)
            _log.notice(
                "pipelined_requests_discarded", count=count, peer=conn.peer
            )

    def _record_disconnected(self, request_id: str, stage: str) -> None:
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

    async def _answer(
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
            async with self._gateway.handle(request, buffered) as response:
                method = read.head.method
                if turn is None:
                    await self._send_response(conn, pipeline, method, response)
                else:
                    await self._send_in_turn(
                        conn, pipeline, method, request, response, turn
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
            await self._send_refusal(
                conn, pipeline, read.head.method, service, read.request_id, exc
            )

    async def _send_in_turn(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        method: bytes,
        request: Request,
        response: Response,
        turn: trio.Event,
    ) -> None:
        """Sends a response when its turn has come, and reads its body ahead.

        The instance is free for other requests once the body was read.

        Raises:
            RefusedError: The body could not be read.
        """
        with ExitStack() as held_bodies:
            if not turn.is_set() and not isinstance(response.body, BytesBody):
                held_body = held_bodies.enter_context(
                    HeldBody.hold(response.body, self._ahead_memory)
                )
                try:
                    await held_body.read_ahead(
                        _MAX_BODY_BYTES_AHEAD, request.useful_until, self._clock
                    )
                except RhubarbpaddleError as exc:
                    raise make_failed_body_refusal(exc) from exc
                response = response._replace(body=held_body)
            await turn.wait()
            await self._send_response(conn, pipeline, method, response)

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
        if self._closing and (pipeline is None or pipeline.close()):
            return [(b"connection", b"close")]
        return []

    async def _send_refusal(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline | None,
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
