"""Server of the exchange protocol, run by the node beside an instance."""

import math
from collections.abc import AsyncIterator
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import (
    ProtocolError,
    RefusedError,
    RhubarbpaddleError,
)
from rhubarbpaddle.execution import Body, BytesBody, Request, Response
from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.failed_body_refusal import (
    make_failed_body_refusal,
)
from rhubarbpaddle.execution.upstream_proxy import UpstreamProxy
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.link_pacer import LinkPacer
from rhubarbpaddle.peer.messages import (
    BodyChunk,
    BodyEnd,
    Call,
    Hello,
    KeepAlive,
    Refusal,
    ResponseHead,
)
from rhubarbpaddle.peer.remote_request_body import RemoteRequestBody
from rhubarbpaddle.stream_watch import StreamWatch
from rhubarbpaddle.telemetry import get_logger
from rhubarbpaddle.work_count import WorkCount

# Bodies up to this length are sent in the same message as their head.
INLINE_BODY_BYTES = 16 * 1024
# Fraction of the time until the latency target that the transfer of a response
# may take. Nothing but the caller's own connection follows it.
_TIME_FRACTION = 0.5

_log = get_logger("peer")


class ExchangeServer:
    """Runs forwarded requests, one at a time on each connection.

    Attributes:
        work: Counts the calls in progress, including queued ones.
    """

    def __init__(
        self,
        proxy: UpstreamProxy,
        clock: Clock,
        watch: StreamWatch,
        deadline_limit: DeadlineLimit,
        pacer: LinkPacer,
    ) -> None:
        self._proxy = proxy
        self._pacer = pacer
        self._clock = clock
        self._watch = watch
        self._deadline_limit = deadline_limit
        self.work = WorkCount()

    async def serve(self, conn: PeerConnection, hello: Hello) -> None:
        """Runs the calls of one connection until it closes."""
        with trio.CancelScope() as scope:
            while not conn.broken:
                call = await conn.receive()
                if not isinstance(call, Call):
                    raise ProtocolError(
                        f"expected a call, got {type(call).__name__}",
                        step="receive_call",
                        peer=conn.peer,
                    )
                presence = self._watch.add(conn, scope)
                try:
                    if presence.has_disconnected():
                        # The call stayed unread, for example while the process
                        # was paused, and the gateway has abandoned it.
                        _log.notice(
                            "call_abandoned", request_id=call.request_id
                        )
                        return
                    with self.work:
                        await conn.send(KeepAlive())
                        await self._serve_call(conn, call, presence)
                except trio.Cancelled:
                    if scope.cancel_called:
                        _log.notice(
                            "call_cancelled",
                            request_id=call.request_id,
                            peer=conn.peer,
                        )
                    raise
                finally:
                    self._watch.remove(conn)

    async def _serve_call(
        self, conn: PeerConnection, call: Call, presence: CallerPresence
    ) -> None:
        body: Body
        if call.body is None:
            body = RemoteRequestBody(conn, call.request_id, call.body_length)
        else:
            body = BytesBody(call.body)
        try:
            await self._respond(conn, call, body, presence)
        except RhubarbpaddleError as exc:
            conn.broken = True
            _log.warn("call_failed", request_id=call.request_id, error=exc)
            return
        except Exception as exc:
            # An unexpected error in one call must not stop the node.
            conn.broken = True
            _log.error(
                "call_failed", request_id=call.request_id, reason=repr(exc)
            )
            return
        if isinstance(body, RemoteRequestBody) and not body.is_settled():
            # Chunks of this body may still arrive, so the connection can't be
            # reused for the next call.
            conn.broken = True

    async def _respond(
        self,
        conn: PeerConnection,
        call: Call,
        body: Body,
        presence: CallerPresence,
    ) -> None:
        request = self._deadline_limit.apply(self._to_request(call, presence))
        try:
            async with self._proxy.handle(
                request, body, call.instance, call.incarnation
            ) as response:
                await self._send_response(
                    conn, call.request_id, response, request.useful_until
                )
        except RefusedError as exc:
            await conn.send(self._to_refusal(call.request_id, exc))

    async def _send_response(
        self,
        conn: PeerConnection,
        request_id: str,
        response: Response,
        useful_until: float,
    ) -> None:
        length = response.body.length
        inline = None
        if length is not None and length <= INLINE_BODY_BYTES:
            inline = await _read_all(response.body)
        await conn.send(
            ResponseHead(
                request_id,
                response.status,
                response.headers,
                response.report,
                inline,
                length,
            )
        )
        if inline is not None:
            return
        with self._pacer.transfer(
            length, useful_until, _TIME_FRACTION
        ) as transfer:
            async for chunk in _iter_chunks(
                response.body, self._pacer.chunk_bytes
            ):
                await transfer.wait_turn(len(chunk))
                await conn.send(BodyChunk(request_id, chunk))
        await conn.send(BodyEnd(request_id))

    def _to_request(self, call: Call, presence: CallerPresence) -> Request:
        now = self._clock.monotonic()
        useful_until = math.inf
        if call.latency_target_ms is not None:
            useful_until = now + call.latency_target_ms / 1000
        return Request(
            request_id=call.request_id,
            organisation=call.organisation,
            service=call.service,
            method=call.method,
            target=call.target,
            headers=call.headers,
            deadline=now + call.remaining_ms / 1000,
            idempotent=call.idempotent,
            key=call.key,
            attempt=call.attempt,
            depth=call.depth,
            may_queue=call.may_queue,
            claim=call.claim,
            fingerprint=call.fingerprint,
            route=call.route,
            priority=call.priority,
            useful_until=useful_until,
            calling_service=call.calling_service,
            usage_ratio=call.usage_ratio,
            caller=presence,
            spillover=call.spillover,
        )

    def _to_refusal(self, request_id: str, exc: RefusedError) -> Refusal:
        return Refusal(
            request_id=request_id,
            code=exc.code,
            detail=exc.detail,
            step=exc.step,
            status=exc.status,
            outcome=exc.outcome,
            retry_after_ms=exc.retry_after // timedelta(milliseconds=1),
            may_retry=exc.may_retry,
            report=self._proxy.get_report(),
            may_resend=exc.may_resend,
            wait_ms=round(exc.expected_wait * 1000),
        )


async def _read_all(body: Body) -> bytes:
    """Reads a short body completely.

    A failure becomes a refusal, which is possible because the response's head
    was not sent yet.

    Raises:
        RefusedError: The body could not be read.
    """
    content = bytearray()
    try:
        while chunk := await body.receive():
            content += chunk
    except RhubarbpaddleError as exc:
        raise make_failed_body_refusal(exc) from exc
    return bytes(content)


async def _iter_chunks(
    body: Body, max_chunk_bytes: int
) -> AsyncIterator[bytes]:
    while chunk := await body.receive():
        for start in range(0, len(chunk), max_chunk_bytes):
            yield chunk[start : start + max_chunk_bytes]
