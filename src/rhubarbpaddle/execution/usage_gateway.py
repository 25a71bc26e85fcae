"""Applies the usage caps of organisations to requests."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.usage.usage_cap import UsageCap
from rhubarbpaddle.usage.usage_gate import UsageGate

# The part of the time to a request's latency target that may pass until its
# token arrives.
_MAX_TIME_FRACTION = 0.25
# The part of that time after which a request is refused if no node has decided
# about it. Half of the time is left to run it.
_MAX_UNDECIDED_FRACTION = 0.5
# A request that is late already still gets these times.
_MIN_WAIT_SECONDS = 0.05
_MIN_UNDECIDED_SECONDS = 0.25


class UsageGateway:
    """Sends a request on only if its organisation's usage cap permits."""

    def __init__(
        self,
        handler: RequestHandler,
        gate: UsageGate,
        get_cap: Callable[[str], UsageCap | None],
        clock: Clock,
    ) -> None:
        """Creates a wrapper around a handler.

        Args:
            handler: Runs the requests that are within the cap.
            gate: Provides the tokens.
            get_cap: Returns the cap of an organisation, or None without one.
            clock: The source of time.
        """
        self._handler = handler
        self._gate = gate
        self._get_cap = get_cap
        self._clock = clock

    def handle(
        self, request: Request, body: Body
    ) -> AbstractAsyncContextManager[Response]:
        """Runs a request and yields its response.

        Raises:
            RefusedError: There is no response; `outcome` shows whether the
                request may have run.
        """
        if request.organisation:
            cap = self._get_cap(request.organisation)
            if cap is not None:
                return self._handle_capped(request, body, cap)
        return self._handler.handle(request, body)

    @asynccontextmanager
    async def _handle_capped(
        self, request: Request, body: Body, cap: UsageCap
    ) -> AsyncIterator[Response]:
        now = self._clock.monotonic()
        end = min(request.useful_until, request.deadline)
        wait = max(_MIN_WAIT_SECONDS, _MAX_TIME_FRACTION * (end - now))
        until = min(now + wait, request.deadline)
        undecided = max(
            _MIN_UNDECIDED_SECONDS, _MAX_UNDECIDED_FRACTION * (end - now)
        )
        latest = min(now + undecided, request.deadline)
        token = await self._gate.acquire(
            request.organisation, cap, until, latest
        )
        request = request._replace(usage_ratio=token.usage_ratio)
        has_response = False
        try:
            async with self._handler.handle(request, body) as response:
                has_response = True
                yield response
        except RefusedError as exc:
            if not has_response and exc.outcome is Outcome.NOT_RUN:
                self._gate.put_back(request.organisation, token)
            raise
