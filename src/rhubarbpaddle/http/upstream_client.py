"""HTTP/1.1 client for the upstream beside this node."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import h11
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import (
    ProtocolError,
    RefusedError,
    RhubarbpaddleError,
)
from rhubarbpaddle.execution import (
    Body,
    BytesBody,
    Headers,
    Request,
    Response,
)
from rhubarbpaddle.execution.caller_left_refusal import (
    make_caller_left_refusal,
)
from rhubarbpaddle.execution.upload import Upload
from rhubarbpaddle.http.deadline_body import DeadlineBody
from rhubarbpaddle.http.h11_body import H11Body
from rhubarbpaddle.http.headers import remove_hop_by_hop
from rhubarbpaddle.http.product_upstream_dialect import PRODUCT_DIALECT
from rhubarbpaddle.http.upstream_connection import UpstreamConnection
from rhubarbpaddle.http.upstream_dialect import UpstreamDialect
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.network import Network
from rhubarbpaddle.outcome import Outcome

_CONNECT_SECONDS = 1.0
# A connection that was idle for longer may be dead; a new one takes about
# 1 ms.
_MAX_IDLE_SECONDS = 5.0
# Limits responses to earlier requests that are discarded on a connection.
_MAX_SKIPPED_RESPONSES = 4

_ResponseWithBody = tuple[h11.Response, H11Body]


class HttpUpstreamClient:
    """Sends requests to one upstream over a limited number of connections."""

    def __init__(
        self,
        network: Network,
        clock: Clock,
        address: str,
        connections: int,
        dialect: UpstreamDialect = PRODUCT_DIALECT,
        record_load: Callable[[InstanceReading], None] | None = None,
    ) -> None:
        """Creates a client without connections.

        Args:
            network: Opens connections.
            clock: The source of time.
            address: The upstream's `IP:PORT`.
            connections: The maximum number of connections in use.
            dialect: The header conventions of the upstream.
            record_load: Called with the load that a response reports.
        """
        self._record_load = record_load
        self._dialect = dialect
        self._network = network
        self._clock = clock
        self._address = address
        self._connection_slots = trio.Semaphore(connections)
        self._idle: list[UpstreamConnection] = []
        self._closed = False

    @asynccontextmanager
    async def send(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Sends a request and yields its response.

        Args:
            request: The request.
            body: The request's body.

        Raises:
            RefusedError: The request was not sent, the upstream refused it,
                or no valid response arrived.
        """
        await self._acquire_slot(request)
        try:
            # The caller may have disconnected during the waits for a slot and
            # a connection, and a request can't be withdrawn once it was sent.
            if request.caller.has_disconnected():
                raise make_caller_left_refusal("send_request")
            conn = await self._connect(request)
            try:
                yield await self._exchange(conn, request, body)
            finally:
                await self._release(conn)
        finally:
            self._connection_slots.release()

    async def aclose(self) -> None:
        """Closes idle connections now and the others after their exchange."""
        self._closed = True
        while self._idle:
            await self._idle.pop().aclose()

    async def _acquire_slot(self, request: Request) -> None:
        """Waits until fewer connections than the maximum are in use."""
        try:
            self._connection_slots.acquire_nowait()
        except trio.WouldBlock:
            with trio.move_on_after(self._get_remaining_seconds(request)):
                await self._connection_slots.acquire()
                return
            raise _make_deadline_refusal(self._address) from None

    async def _connect(self, request: Request) -> UpstreamConnection:
        while self._idle:
            # The most recently used connection is the least likely to be dead.
            conn = self._idle.pop()
            if self._is_recent(conn) and not self._network.has_input(
                conn.stream
            ):
                return conn
            await conn.aclose()
        seconds = min(_CONNECT_SECONDS, self._get_remaining_seconds(request))
        try:
            with trio.fail_after(seconds):
                stream = await self._network.connect(self._address)
        except (OSError, trio.TooSlowError) as exc:
            raise RefusedError(
                "upstream_unreachable",
                f"cannot connect to the upstream: {exc}",
                step="connect_upstream",
                peer=self._address,
                may_retry=True,
            ) from exc
        return UpstreamConnection(stream, self._address)

    def _is_recent(self, conn: UpstreamConnection) -> bool:
        age = self._clock.monotonic() - (conn.last_success or 0.0)
        return age <= _MAX_IDLE_SECONDS

    async def _release(self, conn: UpstreamConnection) -> None:
        if conn.is_reusable() and not self._closed:
            conn.h11.start_next_cycle()
            conn.last_success = self._clock.monotonic()
            self._idle.append(conn)
        else:
            await conn.aclose()

    async def _exchange(
        self, conn: UpstreamConnection, request: Request, body: Body
    ) -> Response:
        started = self._clock.monotonic()
        remaining_seconds = request.deadline - started
        if remaining_seconds <= 0:
            raise _make_deadline_refusal(self._address)
        headers = self._dialect.make_headers(request, remaining_seconds)
        head = _make_head(request, headers, body, self._address)
        repeatable = isinstance(body, BytesBody)
        try:
            response, response_body = await _send_and_receive(
                conn, head, body, remaining_seconds
            )
            skipped = 0
            while not self._dialect.is_response_to(
                request,
                response.headers,
                on_new_connection=conn.last_success is None and not skipped,
            ):
                skipped += 1
                if skipped > _MAX_SKIPPED_RESPONSES:
                    raise ProtocolError(
                        f"{skipped} responses to other requests",
                        step="receive_response",
                        peer=self._address,
                    )
                response, response_body = await _skip_response(
                    conn, head, response_body, remaining_seconds
                )
        except trio.TooSlowError as exc:
            if conn.last_success is not None:
                await self._purge(started)
            raise _make_unknown_outcome_refusal(
                "upstream_timeout",
                "the upstream did not respond before the deadline",
                self._address,
                504,
            ) from exc
        except RefusedError:
            raise
        except RhubarbpaddleError as exc:
            raise _make_unknown_outcome_refusal(
                "upstream_lost",
                str(exc),
                self._address,
                502,
                may_retry=repeatable,
                may_resend=True,
            ) from exc
        if self._record_load is not None:
            reading = self._dialect.parse_load(response.headers)
            if reading is not None:
                self._record_load(reading)
        retry_after = self._dialect.parse_refusal(
            response.status_code, response.headers
        )
        if retry_after is not None:
            # The upstream may send the refusal once more, which must not be
            # taken for that of a request which follows on the connection.
            conn.retired = True
            raise RefusedError(
                "upstream_refused",
                "the upstream refused the request before it ran",
                step="run_request",
                peer=self._address,
                retry_after=retry_after,
                may_retry=repeatable,
                may_resend=True,
            )
        if request.method == "HEAD" or response.status_code in (204, 304):
            await response_body.receive()
            headers = remove_hop_by_hop(response.headers)
            return Response(response.status_code, headers, BytesBody(b""), None)
        headers = [
            (key, value)
            for key, value in remove_hop_by_hop(response.headers)
            if key != b"content-length"
        ]
        # For a streamed body the time limit counts from the end of the upload.
        response_seconds = (
            self._get_remaining_seconds(request)
            if repeatable
            else remaining_seconds
        )
        body_deadline = (
            self._clock.monotonic()
            + self._dialect.get_body_seconds(response_seconds)
        )
        return Response(
            response.status_code,
            headers,
            DeadlineBody(response_body, body_deadline, self._address),
            None,
        )

    async def _purge(self, before: float) -> None:
        """Closes idle connections whose last success was before a time.

        A timeout on a reused connection may mean that the network has silently
        dropped all connections that were open at the time. Connections in use
        are kept, since their requests may just be slow.

        Args:
            before: Monotonic time in seconds.
        """
        reusable_conns = []
        for conn in self._idle:
            if conn.last_success is None or conn.last_success <= before:
                await conn.aclose()
            else:
                reusable_conns.append(conn)
        self._idle = reusable_conns

    def _get_remaining_seconds(self, request: Request) -> float:
        return max(request.deadline - self._clock.monotonic(), 0)


async def _send_and_receive(
    conn: UpstreamConnection, head: h11.Request, body: Body, seconds: float
) -> _ResponseWithBody:
    """Sends a request and receives its response.

    For a streamed body the time limit counts from the end of the upload.

    Args:
        conn: The connection.
        head: The request's head.
        body: The request's body.
        seconds: The time limit.

    Raises:
        trio.TooSlowError: The response did not arrive in time.
    """
    if isinstance(body, BytesBody):
        with trio.fail_after(seconds):
            await conn.send_request(head, body)
            return await conn.receive_response()
    with trio.fail_after(seconds):
        await conn.send(head)
    upload = Upload(body, conn.send_chunk, conn.receive_response, _is_rejection)
    return await upload.run(seconds)


def _is_rejection(response: _ResponseWithBody) -> bool:
    return response[0].status_code >= 400


async def _skip_response(
    conn: UpstreamConnection, head: h11.Request, body: H11Body, seconds: float
) -> _ResponseWithBody:
    """Discards a response to an earlier request and receives the next one.

    An upstream may respond to a request twice, and the second response then
    arrives in place of the response to the next request. The connection is
    closed afterwards.

    Args:
        conn: The connection.
        head: The request's head.
        body: The body of the response to discard.
        seconds: The time limit.

    Raises:
        trio.TooSlowError: The response did not arrive in time.
    """
    with trio.fail_after(seconds):
        while await body.receive():
            pass
        conn.restart_parser(head)
        return await conn.receive_response()


def _make_head(
    request: Request, headers: Headers, body: Body, address: str
) -> h11.Request:
    if body.length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif body.length or request.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", b"%d" % body.length))
    if not any(key == b"host" for key, _ in headers):
        headers.append((b"host", address.encode()))
    try:
        return h11.Request(
            method=request.method, target=request.target, headers=headers
        )
    except h11.LocalProtocolError as exc:
        raise RefusedError(
            "bad_request", str(exc), step="run_request", status=400
        ) from exc


def _make_deadline_refusal(address: str) -> RefusedError:
    return RefusedError(
        "deadline_exceeded",
        "the deadline passed before the request was sent",
        step="run_request",
        peer=address,
        status=504,
    )


def _make_unknown_outcome_refusal(
    code: str,
    detail: str,
    address: str,
    status: int,
    *,
    may_retry: bool = False,
    may_resend: bool = False,
) -> RefusedError:
    return RefusedError(
        code,
        detail,
        step="run_request",
        peer=address,
        status=status,
        outcome=Outcome.UNKNOWN,
        may_retry=may_retry,
        may_resend=may_resend,
    )
