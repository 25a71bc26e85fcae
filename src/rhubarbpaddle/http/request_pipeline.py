"""The requests that a caller sends without waiting for responses."""

from collections import deque

import h11
import trio

from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution.concurrent_run import may_run_concurrently
from rhubarbpaddle.http.limits import CallerLimits
from rhubarbpaddle.http.pipeline_handler import PipelineHandler
from rhubarbpaddle.http.pipelined_request import PipelinedRequest
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.network import Network
from rhubarbpaddle.stream_presence import StreamPresence
from rhubarbpaddle.telemetry import get_logger
from rhubarbpaddle.work_count import WorkCount

_log = get_logger("caller")


class RequestPipeline:
    """Reads requests of one connection ahead, and queues them in order.

    Reading stops behind the first request that may not run beside others. A
    task reads only while input has arrived, so a connection whose caller waits
    for each response has none.
    """

    def __init__(
        self,
        conn: ServerConnection,
        network: Network,
        limits: CallerLimits,
        nursery: trio.Nursery,
        handler: PipelineHandler,
        work: WorkCount,
    ) -> None:
        """Creates an empty pipeline.

        Args:
            conn: The connection, whose responses its own task sends.
            network: Tells whether input has arrived.
            limits: The limits on what is read ahead.
            nursery: Runs the tasks of requests that run ahead.
            handler: Runs the requests.
            work: Counts each request until it was answered.
        """
        self._conn = conn
        self._network = network
        self._limits = limits
        self._nursery = nursery
        self._handler = handler
        self._work = work
        self._queue: deque[PipelinedRequest] = deque()
        self._queued_bytes = 0
        self._unparsed = b""
        self._open = False
        self._ended = False
        self._reading = False
        # Created when reading starts, so that a connection without pipelining
        # does not pay for them.
        self._read_scope: trio.CancelScope | None = None
        self._changed: trio.Event | None = None

    def is_used(self) -> bool:
        """Returns whether requests are queued or being read."""
        return self._reading or bool(self._queue) or bool(self._unparsed)

    def set_open(self, is_open: bool) -> None:
        """Permits or stops reading behind the current request.

        Args:
            is_open: Whether requests may run beside the current one.
        """
        self._open = is_open
        if is_open and self._conn.unparsed:
            self._start_reading()

    def handle_input(self) -> None:
        """Reads the requests that have arrived behind the current one."""
        if self._open:
            self._start_reading()

    def close(self) -> bool:
        """Stops reading, unless requests are queued.

        Returns:
            Whether the current response is the last one.
        """
        if self._queue:
            return False
        self._stop_reading()
        return True

    async def take_next(self) -> PipelinedRequest | None:
        """Returns the next request, or None if none was read ahead.

        The connection then continues behind what was read.
        """
        while not self._queue and self._reading:
            await self._wait_change()
        conn = self._conn
        if not self._queue:
            self._open = False
            conn.unparsed, self._unparsed = self._unparsed + conn.unparsed, b""
            return None
        entry = self._queue.popleft()
        self._queued_bytes -= entry.head_bytes
        conn.continue_with(entry.h11)
        if entry.read is not None:
            body = conn.start_request(entry.read.head)
            entry.read = entry.read._replace(body=body)
        self._open = entry.runs_ahead
        if entry.runs_ahead:
            self._start_reading()
        else:
            conn.unparsed, self._unparsed = self._unparsed, b""
        return entry

    def cancel(self) -> list[PipelinedRequest]:
        """Cancels all queued requests and stops reading.

        Returns:
            The requests that get no response.
        """
        self._stop_reading()
        cancelled = list(self._queue)
        self._queue.clear()
        for entry in cancelled:
            if entry.runs_ahead:
                entry.scope.cancel()
            else:
                self._work.end()
        return cancelled

    async def wait_stopped(self) -> None:
        """Waits until the connection is not read any more."""
        while self._reading:
            await self._wait_change()

    async def _wait_change(self) -> None:
        self._changed = trio.Event()
        await self._changed.wait()

    def _notify_change(self) -> None:
        if self._changed is not None:
            self._changed.set()

    def _stop_reading(self) -> None:
        self._ended = True
        if self._read_scope is not None:
            self._read_scope.cancel()

    def _start_reading(self) -> None:
        if not self._reading and self._may_read():
            self._reading = True
            self._read_scope = trio.CancelScope()
            self._nursery.start_soon(self._read_all, self._read_scope)

    def _may_read(self) -> bool:
        return (
            self._open
            and not self._ended
            and len(self._queue) < self._limits.requests_ahead
            and self._queued_bytes < self._limits.bytes_ahead
            and (not self._queue or self._queue[-1].runs_ahead)
            and self._handler.may_read_ahead()
        )

    async def _read_all(self, scope: trio.CancelScope) -> None:
        """Reads requests until none has arrived, or the limits are reached."""
        conn = self._conn
        self._unparsed, conn.unparsed = self._unparsed + conn.unparsed, b""
        try:
            with scope:
                while self._may_read() and (
                    self._unparsed or self._network.has_input(conn.stream)
                ):
                    await self._read_one()
        finally:
            self._reading = False
            self._notify_change()

    async def _read_one(self) -> None:
        reader = self._conn.make_reader(self._unparsed)
        self._unparsed = b""
        received = None
        try:
            with reader.scope:
                received = await reader.receive_request()
            reader.raise_if_head_timed_out()
        except RefusedError as exc:
            self._add(PipelinedRequest(None, reader.h11, error=exc))
            self._ended = True
            return
        except RhubarbpaddleError as exc:
            # The connection's own task will meet the same error.
            _log.debug("caller_connection_ended", error=exc)
            self._ended = True
            return
        if received is None:
            self._ended = True
            return
        head, body = received
        presence = StreamPresence(self._conn, self._network)
        read = self._handler.take_request(self._conn, head, body, presence)
        runs_ahead = (
            read.request is not None
            and body.length == 0
            and not reader.h11.they_are_waiting_for_100_continue
            and may_run_concurrently(read.request)
            and self._handler.try_begin_ahead()
        )
        if runs_ahead:
            # Nothing follows the head, so this does not wait.
            await body.receive()
        self._unparsed = reader.unparsed
        entry = PipelinedRequest(
            read, reader.h11, reader.head_bytes, runs_ahead=runs_ahead
        )
        self._add(entry)
        if reader.h11.their_state is not h11.DONE:
            # The caller announced that this is its last request, or its body
            # follows.
            self._ended = self._ended or runs_ahead
        if runs_ahead:
            self._nursery.start_soon(
                self._handler.run_ahead, self._conn, self, entry
            )

    def _add(self, entry: PipelinedRequest) -> None:
        self._work.begin()
        self._queue.append(entry)
        self._queued_bytes += entry.head_bytes
        self._notify_change()
