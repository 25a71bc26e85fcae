"""Sends a caller's request to instances until one responds."""

import math
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.attempt_history import AttemptHistory
from rhubarbpaddle.execution.body import Body, rewind_body
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.caller_left_refusal import (
    make_caller_left_refusal,
)
from rhubarbpaddle.execution.deadline_refusal import make_deadline_refusal
from rhubarbpaddle.execution.dispatcher import Dispatcher
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.execution.retry_policy import RetryPolicy
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.router import Router

# The sidecar enforces the deadline and reports whether the request ran. The
# gateway waits this much longer for the sidecar's response.
_DEADLINE_GRACE_SECONDS = 0.25


class Gateway:
    """Chooses instances for a request until one responds."""

    def __init__(
        self,
        router: Router,
        dispatcher: Dispatcher,
        clock: Clock,
        get_accepted: Callable[[], AcceptedConfiguration | None],
    ) -> None:
        self._router = router
        self._dispatcher = dispatcher
        self._clock = clock
        self._get_accepted = get_accepted
        self._retry_policy = RetryPolicy()

    @property
    def retried(self) -> Mapping[str, int]:
        """The number of retries sent, by service."""
        return self._retry_policy.retried

    @asynccontextmanager
    async def handle(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Runs a request and yields its response.

        Args:
            request: The request.
            body: Its body.

        Raises:
            RefusedError: There is no response; `outcome` shows whether the
                request may have run.
        """
        async with AsyncExitStack() as stack:
            yield await self._get_response(stack, request, body)

    async def _get_response(
        self, stack: AsyncExitStack, request: Request, body: Body
    ) -> Response:
        accepted = self._get_accepted()
        if accepted is None:
            raise RefusedError(
                "not_ready", "no configuration is in force", step="route"
            )
        cfg = accepted.configuration
        self._retry_policy.record_call(cfg, request.service)
        history = AttemptHistory(request.service)
        while True:
            if self._clock.monotonic() >= request.deadline:
                raise make_deadline_refusal(history.may_have_run)
            if request.caller.has_disconnected():
                raise make_caller_left_refusal("route", history.may_have_run)
            candidate = self._choose_candidate(cfg, request.service, history)
            history.record_start(candidate.node_id)
            attempt_request = self._prepare_attempt(cfg, request, history)
            try:
                response = await self._send_attempt(
                    stack, attempt_request, rewind_body(body), candidate
                )
            except RefusedError as exc:
                history.record_failure(
                    candidate.node_id, exc, attempt_request.may_queue
                )
                if not self._retry_policy.try_spend_for_refusal(
                    attempt_request, exc, history.count
                ):
                    raise
                continue
            if not self._may_retry_response(
                cfg, attempt_request, body, response, history
            ):
                return response
            await stack.aclose()
            refusal = RefusedError(
                "upstream_failed",
                f"an instance responded with status {response.status}",
                step="run_request",
                peer=candidate.node_id,
                status=response.status,
                outcome=Outcome.UNKNOWN,
            )
            history.record_failure(
                candidate.node_id, refusal, attempt_request.may_queue
            )

    def _choose_candidate(
        self, cfg: Configuration, service: str, history: AttemptHistory
    ) -> Candidate:
        candidate = self._router.choose(cfg, service, history.excluded)
        # If no other instance can be tried, the request will queue. The
        # instances that refused it as full become eligible again, so that it
        # queues at the best instance of all.
        if (
            candidate is None
            or not self._router.has_other(
                cfg, service, history.excluded | {candidate.node_id}
            )
        ) and history.readmit_full_nodes():
            candidate = self._router.choose(cfg, service, history.excluded)
        if candidate is None:
            raise history.refusal
        return candidate

    def _prepare_attempt(
        self, cfg: Configuration, request: Request, history: AttemptHistory
    ) -> Request:
        """Returns the request for the attempt that `history` has started."""
        may_redirect = (
            not history.must_queue
            and self._retry_policy.may_redirect(request, history.count)
            and self._router.has_other(cfg, request.service, history.excluded)
        )
        return request._replace(
            may_queue=not may_redirect,
            attempt=request.attempt + history.may_have_run,
        )

    def _may_retry_response(
        self,
        cfg: Configuration,
        request: Request,
        body: Body,
        response: Response,
        history: AttemptHistory,
    ) -> bool:
        return (
            response.status >= 500
            and isinstance(body, BytesBody)
            and self._clock.monotonic() < request.deadline
            and self._router.has_other(cfg, request.service, history.excluded)
            and self._retry_policy.try_spend_for_response(
                request, response.status, history.count
            )
        )

    async def _send_attempt(
        self,
        stack: AsyncExitStack,
        request: Request,
        body: Body,
        candidate: Candidate,
    ) -> Response:
        started = self._clock.monotonic()
        is_in_memory = isinstance(body, BytesBody)
        self._router.record_start(candidate)
        try:
            response = await self._dispatch(stack, request, body, candidate)
        except RefusedError as exc:
            self._router.record_end(
                candidate,
                self._clock.monotonic() - started,
                False,
                exc.report,
                exc.code,
            )
            raise
        except BaseException:
            self._router.record_end(candidate, None, False, None)
            raise
        latency = self._clock.monotonic() - started
        stack.callback(
            self._router.record_end,
            candidate,
            latency if is_in_memory else None,
            response.status < 500,
            response.report,
        )
        return response

    async def _dispatch(
        self,
        stack: AsyncExitStack,
        request: Request,
        body: Body,
        candidate: Candidate,
    ) -> Response:
        # The timeout of a request with a streamed body starts at the body's
        # end, which only the sidecar observes.
        deadline = (
            request.deadline + _DEADLINE_GRACE_SECONDS
            if isinstance(body, BytesBody)
            else math.inf
        )
        with trio.move_on_at(deadline):
            return await stack.enter_async_context(
                self._dispatcher.dispatch(request, body, candidate)
            )
        raise make_deadline_refusal(may_have_run=True)
