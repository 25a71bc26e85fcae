"""Runs each non-idempotent request at most once."""

import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.claim_fingerprint import (
    buffer_for_digest,
    make_claim_fingerprint,
)
from rhubarbpaddle.execution.claim_held import ClaimHeld
from rhubarbpaddle.execution.claim_key import (
    check_key,
    make_scoped_key,
    to_ms,
)
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease
from rhubarbpaddle.execution.claim_reporter import ClaimReporter
from rhubarbpaddle.execution.claim_state import ClaimState
from rhubarbpaddle.execution.claim_store import ClaimStore
from rhubarbpaddle.execution.gateway import Gateway
from rhubarbpaddle.execution.recording_body import (
    MAX_RECORDED_BYTES,
    RecordingBody,
)
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.outcome import Outcome

REPLAYED_HEADER = b"rhubarbpaddle-replayed"
OUTCOME_HEADER = b"rhubarbpaddle-outcome"
# Allows for clock differences between nodes and for keys dated up to one
# minute ahead.
_EXPIRY_MARGIN = timedelta(minutes=2)
_RELEASE_TIMEOUT_SECONDS = 0.5


class ClaimingGateway:
    """Claims the key of a non-idempotent request before running it."""

    def __init__(
        self,
        gateway: Gateway,
        store: ClaimStore,
        reporter: ClaimReporter,
        clock: Clock,
        get_accepted: Callable[[], AcceptedConfiguration | None],
    ) -> None:
        self._gateway = gateway
        self._store = store
        self._reporter = reporter
        self._clock = clock
        self._get_accepted = get_accepted

    def handle(
        self, request: Request, body: Body
    ) -> AbstractAsyncContextManager[Response]:
        """Runs a request and yields its response.

        Args:
            request: The request.
            body: Its body.

        Raises:
            RefusedError: There is no response; `outcome` shows whether the
                request may have run.
        """
        if request.idempotent:
            return self._gateway.handle(request, body)
        return self._handle_at_most_once(request, body)

    @asynccontextmanager
    async def _handle_at_most_once(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        service = self._get_service(request)
        if not request.key and not service.key_required:
            async with self._gateway.handle(request, body) as response:
                yield response
            return
        key_ms = self._check_key(request, service)
        body = await buffer_for_digest(body)
        record = self._make_claim_record(request, body, service, key_ms)
        existing = await self._claim(record, request.deadline)
        if existing is not None:
            yield _make_replay(existing)
            return
        claimed_request = request._replace(
            claim=record.claim_id.hex(),
            fingerprint=request.fingerprint or record.fingerprint.hex(),
        )
        async with self._run(claimed_request, body, record) as response:
            yield response

    async def _claim(
        self, record: ClaimRecord, deadline: float
    ) -> ClaimHeld | None:
        remaining = max(deadline - self._clock.monotonic(), 0)
        try:
            with trio.move_on_after(remaining):
                return await self._store.claim(record)
            raise RefusedError(
                "claim_timeout",
                "the claim was not decided before the deadline",
                step="claim",
                status=504,
                outcome=Outcome.UNKNOWN,
            )
        except RefusedError as exc:
            if exc.outcome is Outcome.UNKNOWN:
                # The claim may be in the log, but its request was not started.
                self._release(record)
            raise
        except trio.Cancelled:
            self._release(record)
            raise

    @asynccontextmanager
    async def _run(
        self, request: Request, body: Body, record: ClaimRecord
    ) -> AsyncIterator[Response]:
        if self._clock.monotonic() >= request.deadline:
            await self._release_and_wait(record)
            raise RefusedError(
                "deadline_exceeded",
                "the deadline passed before the claim was granted",
                step="claim",
                status=504,
            )
        responded = False
        try:
            async with self._gateway.handle(request, body) as response:
                responded = True
                yield self._record_outcome(response, record)
        except RefusedError as exc:
            if not responded and exc.outcome is Outcome.NOT_RUN:
                await self._release_and_wait(record)
            raise

    def _record_outcome(
        self, response: Response, record: ClaimRecord
    ) -> Response:
        if (OUTCOME_HEADER, b"not-run") in response.headers:
            self._release(record)
            return response

        def report(content: bytes | None) -> None:
            self._reporter.put(
                ClaimOutcome(
                    record.key,
                    record.claim_id,
                    response.status,
                    response.headers,
                    content,
                )
            )

        body = response.body
        if (
            isinstance(body, BytesBody)
            and len(body.content) <= MAX_RECORDED_BYTES
        ):
            report(body.content)
            return response
        return response._replace(body=RecordingBody(body, report))

    def _release(self, record: ClaimRecord) -> trio.Event:
        return self._reporter.put(ClaimRelease(record.key, record.claim_id))

    async def _release_and_wait(self, record: ClaimRecord) -> None:
        """Releases a claim, so that a retry by the caller can run."""
        done = self._release(record)
        with trio.move_on_after(_RELEASE_TIMEOUT_SECONDS):
            await done.wait()

    def _get_service(self, request: Request) -> Service:
        accepted = self._get_accepted()
        if accepted is None:
            raise RefusedError(
                "not_ready", "no configuration is in force", step="claim"
            )
        service = accepted.configuration.services.get(request.service)
        if service is None:
            raise RefusedError(
                "unknown_service",
                f"there is no service {request.service!r}",
                step="claim",
                status=404,
            )
        return service

    def _check_key(self, request: Request, service: Service) -> int:
        if not request.key:
            raise RefusedError(
                "key_required",
                f"{request.method} needs an Idempotency-Key",
                step="check_key",
                status=400,
            )
        return check_key(request, service, self._clock.now())

    def _make_claim_record(
        self, request: Request, body: Body, service: Service, key_ms: int
    ) -> ClaimRecord:
        now = self._clock.now()
        remaining = request.deadline - self._clock.monotonic()
        return ClaimRecord(
            key=make_scoped_key(request),
            claim_id=secrets.token_bytes(16),
            fingerprint=make_claim_fingerprint(request, body),
            key_ms=key_ms,
            deadline_ms=to_ms(now) + int(max(remaining, 0) * 1000),
            expires_ms=to_ms(now + service.claim_window + _EXPIRY_MARGIN),
        )


def _make_replay(existing: ClaimHeld) -> Response:
    if existing.state is ClaimState.RUNNING:
        raise RefusedError(
            "in_progress",
            "the first request with this key may still run",
            step="claim",
            status=409,
            outcome=Outcome.UNKNOWN,
        )
    outcome = existing.outcome
    if existing.state is ClaimState.UNKNOWN or outcome is None:
        raise RefusedError(
            "outcome_unknown",
            "the first request with this key may have run",
            step="claim",
            status=409,
            outcome=Outcome.UNKNOWN,
        )
    if outcome.body is None:
        raise RefusedError(
            "already_completed",
            f"the first request with this key got status {outcome.status}; "
            "its response was too large to store",
            step="claim",
            status=409,
            outcome=Outcome.UNKNOWN,
        )
    headers = [*outcome.headers, (REPLAYED_HEADER, b"true")]
    return Response(outcome.status, headers, BytesBody(outcome.body), None)
