"""Takes a routed request to an instance that can serve it in time."""

import math
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.body import Body, rewind_body
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.caller_left_refusal import (
    make_caller_left_refusal,
)
from rhubarbpaddle.execution.deadline_refusal import make_deadline_refusal
from rhubarbpaddle.execution.dispatcher import Dispatcher
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.execution.shared_retry_budget import SharedRetryBudget
from rhubarbpaddle.execution.route_attempt_history import TryRecord, is_before_instance
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_router import InstanceRouter

# Instances that are asked for immediate service before the request queues. One
# that is full will be free soon, so that more questions take longer than a
# place in its queue; one in a slow spell may stay slow for 0.5 s.
_ASKED_FULL_INSTANCES = 2
_ASKED_INSTANCES = 5
# Queues that are asked for a place before the request is refused.
_ASKED_QUEUES = 3
# The node beside the instance answers at the deadline; this is for its answer
# to arrive.
_DEADLINE_GRACE_SECONDS = 0.03
# 503 tells callers of routes that the request has not run.
_NOT_RUN_STATUS = 503
_RETRIED_STATUSES = frozenset({500, 502, 503, 504})


class RouteGateway:
    """Tries instances until one answers, within budget and deadline."""

    def __init__(
        self,
        router: InstanceRouter,
        dispatcher: Dispatcher,
        budget: SharedRetryBudget,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._log = log
        self._router = router
        self._dispatcher = dispatcher
        self._budget = budget
        self._clock = clock

    @asynccontextmanager
    async def handle(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Runs a request and yields its answer.

        Raises:
            RefusedError: There is no answer; `outcome` tells what is known.
        """
        self._budget.note_request(request.service)
        async with AsyncExitStack() as stack:
            yield await self._get_response(stack, request, body)

    async def _get_response(
        self, stack: AsyncExitStack, request: Request, body: Body
    ) -> Response:
        record = TryRecord(request.service)
        while True:
            if self._clock.monotonic() >= request.deadline:
                raise make_deadline_refusal(
                    record.may_have_run, _NOT_RUN_STATUS
                )
            if request.caller.has_left():
                raise make_caller_left_refusal("route", record.may_have_run)
            candidate, may_queue = self._choose(request, record)
            if candidate is None:
                raise _conclude(record)
            try:
                response = await self._try_candidate(
                    stack,
                    request._replace(may_queue=may_queue),
                    rewind_body(body),
                    candidate,
                )
            except RefusedError as exc:
                record.fail(candidate.node_id, exc, may_queue)
                self._log_try(request, candidate, record, exc)
                if not self._may_retry(request, record, exc):
                    raise _conclude(record) from exc
                continue
            if not self._may_drop(request, body, response, record):
                self._log.info(
                    "try_answered",
                    request_id=request.request_id,
                    route=request.route,
                    instance=candidate.instance,
                    incarnation=candidate.incarnation,
                    status=response.status,
                    attempts=record.attempts + 1,
                    refused=len(record.excluded),
                    queued=may_queue,
                )
                return response
            await stack.aclose()
            refusal = RefusedError(
                "upstream_failed",
                f"an instance answered {response.status}",
                step="run_request",
                peer=candidate.node_id,
                status=502,
                outcome=Outcome.UNKNOWN,
            )
            record.fail(candidate.node_id, refusal, may_queue)
            self._log_try(request, candidate, record, refusal)

    def _choose(
        self, request: Request, record: TryRecord
    ) -> tuple[Candidate | None, bool]:
        """Returns the next instance and whether to queue there."""
        if (
            not record.queued
            and record.full_count < _ASKED_FULL_INSTANCES
            and len(record.busy) < _ASKED_INSTANCES
        ):
            candidate = self._router.choose(request.service, record.excluded)
            if candidate is not None and not self._router.is_busy(candidate):
                return candidate, False
        if len(record.queued) >= _ASKED_QUEUES:
            return None, True
        excluded = (record.excluded - record.busy) | record.queued
        return self._router.choose(request.service, excluded), True

    def _may_retry(
        self, request: Request, record: TryRecord, exc: RefusedError
    ) -> bool:
        if not exc.may_retry:
            return False
        if is_before_instance(exc):
            return True
        if record.may_have_run and not request.idempotent:
            return False
        return record.attempts < request.max_attempts and (
            self._budget.try_spend(
                request.service, may_have_run=record.may_have_run
            )
        )

    def _may_drop(
        self,
        request: Request,
        body: Body,
        response: Response,
        record: TryRecord,
    ) -> bool:
        """Returns whether a failed answer may be replaced by another try."""
        return (
            response.status in _RETRIED_STATUSES
            and request.idempotent
            and isinstance(body, BytesBody)
            and record.attempts + 1 < request.max_attempts
            and self._clock.monotonic() < request.useful_until
            and self._budget.try_spend(request.service, may_have_run=True)
        )

    async def _try_candidate(
        self,
        stack: AsyncExitStack,
        request: Request,
        body: Body,
        candidate: Candidate,
    ) -> Response:
        self._router.started(candidate)
        try:
            response = await self._dispatch(stack, request, body, candidate)
        except RefusedError as exc:
            self._router.finished(candidate, exc.report, exc.code)
            raise
        except BaseException:
            self._router.finished(candidate, None)
            raise
        stack.callback(self._router.finished, candidate, response.report)
        return response

    async def _dispatch(
        self,
        stack: AsyncExitStack,
        request: Request,
        body: Body,
        candidate: Candidate,
    ) -> Response:
        deadline = request.deadline + _DEADLINE_GRACE_SECONDS
        with trio.move_on_at(deadline):
            return await stack.enter_async_context(
                self._dispatcher.dispatch(request, body, candidate)
            )
        raise make_deadline_refusal(may_have_run=True)

    def _log_try(
        self,
        request: Request,
        candidate: Candidate,
        record: TryRecord,
        exc: RefusedError,
    ) -> None:
        left = request.deadline - self._clock.monotonic()
        write = self._log.info if is_before_instance(exc) else self._log.notice
        write(
            "try_failed",
            request_id=request.request_id,
            route=request.route,
            instance=candidate.instance,
            attempts=record.attempts,
            outcome=exc.outcome,
            left_ms=math.floor(left * 1000),
            error=exc,
        )


def _conclude(record: TryRecord) -> RefusedError:
    """Returns the final refusal, which covers all tries."""
    last = record.refusal
    if not record.may_have_run:
        return last
    last.outcome = Outcome.UNKNOWN
    if last.status not in (502, 504):
        last.status = 502
    return last
