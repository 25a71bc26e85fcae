"""Client of the exchange protocol, used by gateways."""

import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import (
    RefusedError,
    RhubarbpaddleError,
    UnsendableError,
)
from rhubarbpaddle.execution import Body, BytesBody, Request, Response
from rhubarbpaddle.execution.upload import Upload
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.exchange_server import INLINE_BODY_BYTES
from rhubarbpaddle.peer.link_pacer import LinkPacer
from rhubarbpaddle.peer.messages import (
    Admitted,
    BodyChunk,
    BodyEnd,
    Call,
    KeepAlive,
    Refusal,
    ResponseHead,
)
from rhubarbpaddle.peer.pool import PeerPool
from rhubarbpaddle.peer.remote_response_body import RemoteResponseBody
from rhubarbpaddle.routing.candidate import Candidate

# Three missed `KeepAlive` messages.
SILENCE_SECONDS = 3.0
# A node confirms a call as soon as it has read it, within a few milliseconds
# even under load. A longer silence indicates a dead host or connection.
CONFIRMATION_SECONDS = 0.25
# Opening a connection takes three round trips, 0.17 s between regions.
_ACQUIRE_SECONDS = 0.3
# Fraction of the time until the latency target that an upload may take. The
# rest is left to the instance.
_TIME_FRACTION = 0.25


class RemoteDispatcher:
    """Forwards requests to the node beside the chosen instance."""

    def __init__(
        self,
        pool: PeerPool,
        clock: Clock,
        get_version: Callable[[], int],
        pacer: LinkPacer,
    ) -> None:
        """Creates a dispatcher.

        Args:
            pool: Connections to other nodes.
            clock: The source of time.
            get_version: Returns the version of the configuration in force.
            pacer: Paces bodies on the host's link.
        """
        self._pacer = pacer
        self._pool = pool
        self._clock = clock
        self._get_version = get_version

    @asynccontextmanager
    async def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AsyncIterator[Response]:
        """Forwards a request and yields its response.

        Args:
            request: The request.
            body: The request's body.
            candidate: The chosen instance.

        Raises:
            RefusedError: The instance's node is unreachable or was lost, or
                it refused the request.
        """
        conn = await self._acquire(candidate)
        finished = False
        try:
            response = await self._exchange(conn, request, body, candidate)
            if isinstance(response, Refusal):
                finished = True
                raise _to_refused_error(response, candidate)
            response_body = _make_body(conn, response)
            yield Response(
                response.status,
                response.headers,
                response_body,
                response.report,
            )
            finished = (
                not isinstance(response_body, RemoteResponseBody)
                or await response_body.read_end()
            )
        finally:
            if finished:
                await self._pool.release(candidate.peer_address, conn)
            else:
                await conn.aclose()

    async def _acquire(self, candidate: Candidate) -> PeerConnection:
        try:
            with trio.fail_after(_ACQUIRE_SECONDS):
                return await self._pool.acquire(candidate.peer_address)
        except (OSError, trio.TooSlowError, RhubarbpaddleError) as exc:
            raise RefusedError(
                "peer_unreachable",
                f"cannot connect to the node beside the instance: {exc}",
                step="connect_peer",
                peer=candidate.node_id,
                may_retry=True,
            ) from exc

    async def _exchange(
        self,
        conn: PeerConnection,
        request: Request,
        body: Body,
        candidate: Candidate,
    ) -> ResponseHead | Refusal:
        call = self._to_call(request, body, candidate)
        # A request that is not idempotent can't be sent to another instance,
        # so a shorter timeout would have no benefit.
        timeout = (
            CONFIRMATION_SECONDS if request.idempotent else SILENCE_SECONDS
        )
        try:
            await _send_call(conn, call, candidate)
            response = await self._receive(conn, request, timeout)
            if isinstance(response, Admitted):
                response = await self._upload(conn, request, body)
        except RhubarbpaddleError as exc:
            if isinstance(exc, RefusedError):
                raise
            await self._pool.purge(candidate.peer_address)
            raise RefusedError(
                "peer_lost",
                f"exchange with the node beside the instance failed: {exc}",
                step="exchange",
                peer=candidate.node_id,
                status=502,
                outcome=Outcome.UNKNOWN,
                may_retry=isinstance(body, BytesBody),
                may_resend=True,
            ) from exc
        return response

    async def _receive(
        self,
        conn: PeerConnection,
        request: Request,
        timeout: float = SILENCE_SECONDS,
    ) -> ResponseHead | Refusal | Admitted:
        """Returns the next message of the exchange, skipping `KeepAlive`.

        Args:
            conn: The connection.
            request: The request.
            timeout: The timeout for the first message in seconds; later
                ones have `SILENCE_SECONDS`.
        """
        while True:
            message = await conn.receive_within(timeout)
            if isinstance(message, KeepAlive):
                timeout = SILENCE_SECONDS
                continue
            if (
                isinstance(message, ResponseHead | Refusal | Admitted)
                and message.request_id == request.request_id
            ):
                return message
            raise conn.make_unexpected_error(message, "exchange")

    async def _upload(
        self, conn: PeerConnection, request: Request, body: Body
    ) -> ResponseHead | Refusal:
        """Sends the body while waiting for the response."""
        max_chunk_bytes = self._pacer.chunk_bytes

        async def send_chunk(chunk: bytes) -> None:
            for start in range(0, len(chunk), max_chunk_bytes):
                content = chunk[start : start + max_chunk_bytes]
                await transfer.wait_turn(len(content))
                await conn.send(BodyChunk(request.request_id, content))
            if not chunk:
                await conn.send(BodyEnd(request.request_id))

        upload: Upload[ResponseHead | Refusal | Admitted] = Upload(
            body,
            send_chunk,
            lambda: self._receive(conn, request),
            _is_rejection,
        )
        with self._pacer.transfer(
            body.length, request.useful_until, _TIME_FRACTION
        ) as transfer:
            response = await upload.run(math.inf)
        if not upload.complete:
            conn.broken = True
        if isinstance(response, Admitted):
            raise conn.make_unexpected_error(response, "exchange")
        return response

    def _to_call(
        self, request: Request, body: Body, candidate: Candidate
    ) -> Call:
        inline = None
        if isinstance(body, BytesBody):
            inline = body.content
            assert len(inline) <= INLINE_BODY_BYTES
        now = self._clock.monotonic()
        latency_target_ms = None
        if math.isfinite(request.useful_until):
            latency_target_ms = int((request.useful_until - now) * 1000)
        return Call(
            request_id=request.request_id,
            organisation=request.organisation,
            service=request.service,
            instance=candidate.instance,
            incarnation=candidate.incarnation,
            method=request.method,
            target=request.target,
            headers=request.headers,
            remaining_ms=int((request.deadline - now) * 1000),
            idempotent=request.idempotent,
            key=request.key,
            attempt=request.attempt,
            depth=request.depth,
            may_queue=request.may_queue,
            claim=request.claim,
            fingerprint=request.fingerprint,
            configuration_version=self._get_version(),
            body=inline,
            body_length=body.length,
            route=request.route,
            priority=request.priority,
            latency_target_ms=latency_target_ms,
            calling_service=request.calling_service,
            usage_ratio=request.usage_ratio,
            spillover=request.spillover,
        )


async def _send_call(
    conn: PeerConnection, call: Call, candidate: Candidate
) -> None:
    """Sends a call.

    Raises:
        RefusedError: The call can't be sent to any node. The connection and
            those to the same node remain usable.
        TruncatedError: The connection is closed.
    """
    try:
        await conn.send(call)
    except UnsendableError as exc:
        raise RefusedError(
            "request_unsendable",
            exc.detail,
            step="exchange",
            peer=candidate.node_id,
            status=500,
        ) from exc


def _is_rejection(response: ResponseHead | Refusal | Admitted) -> bool:
    return not isinstance(response, ResponseHead) or response.status >= 400


def _make_body(conn: PeerConnection, response: ResponseHead) -> Body:
    if response.body is not None:
        return BytesBody(response.body)
    return RemoteResponseBody(
        conn, response.request_id, response.body_length, SILENCE_SECONDS
    )


def _to_refused_error(refusal: Refusal, candidate: Candidate) -> RefusedError:
    return RefusedError(
        refusal.code,
        refusal.detail,
        step=refusal.step,
        peer=candidate.node_id,
        status=refusal.status,
        outcome=refusal.outcome,
        retry_after=timedelta(milliseconds=refusal.retry_after_ms),
        may_retry=refusal.may_retry,
        may_resend=refusal.may_resend,
        report=refusal.report,
        expected_wait=refusal.wait_ms / 1000,
    )
