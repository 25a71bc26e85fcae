"""Sends a routed request to instances until one responds in time."""

import math
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.attempt_sender import AttemptSender
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.body_memory import BodyMemory
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.caller_left_refusal import (
    make_caller_left_refusal,
)
from rhubarbpaddle.execution.deadline_refusal import make_deadline_refusal
from rhubarbpaddle.execution.dispatcher import Dispatcher
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.execution.instance_chooser import InstanceChooser
from rhubarbpaddle.execution.kept_body import KeptBody
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.execution.route_attempt_history import (
    RouteAttemptHistory,
    never_reached_instance,
)
from rhubarbpaddle.execution.shared_retry_budget import SharedRetryBudget
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_router import InstanceRouter

# Status 503 means to callers of routes that the request has not run.
_NOT_RUN_STATUS = 503
_RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class RouteGateway:
    """Chooses instances for a request within its deadline and retry budget."""

    def __init__(
        self,
        router: InstanceRouter,
        chooser: InstanceChooser,
        dispatcher: Dispatcher,
        budget: SharedRetryBudget,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._log = log
        self._chooser = chooser
        self._sender = AttemptSender(router, dispatcher, clock)
        self._budget = budget
        self._clock = clock
        self._body_memory = BodyMemory()

    @asynccontextmanager
    async def handle(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Runs a request and yields its response.

        Raises:
            RefusedError: There is no response; `outcome` shows whether the
                request may have run.
        """
        self._budget.record_request(request.service, request.organisation)
        self._chooser.record_request(request.service)
        # The body is discarded after the exchange, which may still read it.
        with ExitStack() as kept_bodies:
            if not isinstance(body, BytesBody):
                body = kept_bodies.enter_context(
                    KeptBody.keep(body, self._body_memory)
                )
            async with AsyncExitStack() as stack:
                yield await self._get_response(stack, request, body)

    async def _get_response(
        self,
        stack: AsyncExitStack,
        request: Request,
        body: BytesBody | KeptBody,
    ) -> Response:
        history = RouteAttemptHistory(request.service)
        while True:
            if self._clock.monotonic() >= request.deadline:
                raise make_deadline_refusal(
                    history.may_have_run, _NOT_RUN_STATUS
                )
            if request.caller.has_disconnected():
                raise make_caller_left_refusal("route", history.may_have_run)
            try:
                request.permission.check()
            except RefusedError as exc:
                history.refusal = exc
                raise _make_final_refusal(history) from exc
            choice = self._chooser.choose(request, history)
            if choice is None:
                raise _make_final_refusal(history)
            candidate, may_queue, reason = choice
            body.rewind()
            sent_at = self._clock.monotonic()
            try:
                response = await self._sender.send(
                    stack,
                    request._replace(
                        may_queue=may_queue,
                        spillover=reason.yields,
                    ),
                    body,
                    candidate,
                    may_retry=history.attempts + 1 < request.max_attempts,
                )
            except RefusedError as exc:
                seconds = self._clock.monotonic() - sent_at
                history.record_failure(candidate.node_id, exc, may_queue)
                self._chooser.observe_refusal(choice, history, exc, seconds)
                self._log_failed_attempt(request, candidate, history, exc)
                if not self._may_retry(request, body, history, exc):
                    raise _make_final_refusal(history) from exc
                continue
            self._chooser.observe_response(request, choice, body, response)
            if not self._may_retry_response(request, body, response, history):
                self._log.info(
                    "try_answered",
                    request_id=request.request_id,
                    route=request.route,
                    instance=candidate.instance,
                    incarnation=candidate.incarnation,
                    status=response.status,
                    attempts=history.attempts + 1,
                    refused=len(history.excluded),
                    queued=may_queue,
                    zone_choice=reason.value,
                )
                return response
            await stack.aclose()
            refusal = RefusedError(
                "upstream_failed",
                f"an instance responded with status {response.status}",
                step="run_request",
                peer=candidate.node_id,
                status=502,
                outcome=Outcome.UNKNOWN,
            )
            history.record_failure(candidate.node_id, refusal, may_queue)
            self._log_failed_attempt(request, candidate, history, refusal)

    def _may_retry(
        self,
        request: Request,
        body: BytesBody | KeptBody,
        history: RouteAttemptHistory,
        exc: RefusedError,
    ) -> bool:
        if not exc.may_resend or not body.can_rewind():
            return False
        if never_reached_instance(exc):
            return True
        if history.may_have_run and not request.idempotent:
            return False
        return history.attempts < request.max_attempts and (
            self._budget.try_spend(
                request.service,
                may_have_run=history.may_have_run,
                organisation=request.organisation,
            )
        )

    def _may_retry_response(
        self,
        request: Request,
        body: BytesBody | KeptBody,
        response: Response,
        history: RouteAttemptHistory,
    ) -> bool:
        """Returns whether a failed response may be dropped for a retry."""
        return (
            response.status in _RETRYABLE_STATUSES
            and request.idempotent
            and body.can_rewind()
            and history.attempts + 1 < request.max_attempts
            and self._clock.monotonic() < request.useful_until
            and self._budget.try_spend(
                request.service,
                may_have_run=True,
                organisation=request.organisation,
            )
        )

    def _log_failed_attempt(
        self,
        request: Request,
        candidate: Candidate,
        history: RouteAttemptHistory,
        exc: RefusedError,
    ) -> None:
        remaining = request.deadline - self._clock.monotonic()
        log_event = (
            self._log.info if never_reached_instance(exc) else self._log.notice
        )
        log_event(
            "try_failed",
            request_id=request.request_id,
            route=request.route,
            instance=candidate.instance,
            attempts=history.attempts,
            outcome=exc.outcome,
            left_ms=math.floor(remaining * 1000),
            error=exc,
        )


def _make_final_refusal(history: RouteAttemptHistory) -> RefusedError:
    """Returns the final refusal, whose outcome covers all attempts."""
    refusal = history.refusal
    if not history.may_have_run:
        return refusal
    refusal.outcome = Outcome.UNKNOWN
    if refusal.status not in (502, 504):
        refusal.status = 502
    return refusal
