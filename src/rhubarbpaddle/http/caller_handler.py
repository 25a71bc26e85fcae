"""HTTP/1.1 server for callers."""

import h11
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.http.caller_dialect import CallerDialect
from rhubarbpaddle.http.h11_body import H11Body
from rhubarbpaddle.http.idle_connections import IdleConnections
from rhubarbpaddle.http.limits import DEFAULT_LIMITS, CallerLimits
from rhubarbpaddle.http.pipelined_request import PipelinedRequest
from rhubarbpaddle.http.read_request import ReadRequest
from rhubarbpaddle.http.request_answerer import RequestAnswerer
from rhubarbpaddle.http.request_pipeline import RequestPipeline
from rhubarbpaddle.http.response_sender import ResponseSender
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.network import Network
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.stream_watch import StreamWatch
from rhubarbpaddle.telemetry import Metrics, get_logger
from rhubarbpaddle.work_count import WorkCount

# The estimated processor time of a request that is refused by its head. Others
# are bounded by the slots of instances and by usage caps.
_REFUSAL_SECONDS = 0.3e-3

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
        self._sender = ResponseSender(dialect, metrics, network)
        self._answerer = RequestAnswerer(
            gateway, clock, metrics, dialect, self._sender, deadline_limit
        )
        self._metrics = metrics
        self._network = network
        self._watch = watch
        self._limits = limits
        self._idle = IdleConnections(limits.idle_connections)
        self._ahead_count = 0
        self.work = WorkCount()

    def announce_close(self) -> None:
        """Adds `Connection: close` to each response from now on."""
        self._sender.closing = True

    def drain(self) -> None:
        """Closes idle connections now and the others after their response.

        Requests that arrive later are refused as `not-run`.
        """
        self._sender.closing = True
        self._answerer.draining = True
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
            await self._sender.refuse(conn, None, b"GET", "-", "-", exc)
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
            await self._sender.refuse(conn, None, b"GET", "-", "-", failure)
        finally:
            self._idle.remove(conn)
            await conn.aclose()

    def may_read_ahead(self) -> bool:
        """Returns whether requests behind the current one may be read."""
        return not self._sender.closing

    def take_request(
        self,
        conn: ServerConnection,
        head: h11.Request,
        body: H11Body,
        presence: CallerPresence,
    ) -> ReadRequest:
        """Finds out what a head that was just read represents."""
        return self._answerer.take_request(conn, head, body, presence)

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
                await self._answerer.answer(
                    conn, pipeline, entry.read, entry.turn
                )
        except trio.Cancelled:
            if conn.scope.cancel_called:
                self._answerer.record_disconnected(
                    entry.read.request_id, "running"
                )
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
                await self._answerer.answer(conn, pipeline, read, None)
        except trio.Cancelled:
            if conn.scope.cancel_called and not (entry and entry.runs_ahead):
                self._answerer.record_disconnected(read.request_id, "running")
            raise
        finally:
            self._watch.remove(conn)
        if conn.start_next_cycle():
            if read.refusal is not None:
                await conn.share.pass_checkpoint(_REFUSAL_SECONDS)
            return True
        self._discard_queued(conn, pipeline)
        await pipeline.wait_stopped()
        await conn.discard_input()
        return False

    def _discard_queued(
        self, conn: ServerConnection, pipeline: RequestPipeline
    ) -> None:
        """Cancels the requests behind a response that ends the connection.

        If the caller has left, each is recorded as such; those that run ahead
        record it themselves.
        """
        entries = pipeline.cancel()
        if conn.scope.cancel_called:
            for entry in entries:
                if entry.read is not None and not entry.runs_ahead:
                    self._answerer.record_disconnected(
                        entry.read.request_id, "read"
                    )
        elif entries:
            self._metrics.record_pipelined("discarded", len(entries))
            _log.notice(
                "pipelined_requests_discarded",
                count=len(entries),
                peer=conn.peer,
            )
