"""Takes a caller's request to an instance that can answer it."""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration import AcceptedConfiguration
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.dispatcher import Dispatcher
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.routing import Candidate, Router


class Gateway:
    """Chooses instances for a request until one answers."""

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

    @asynccontextmanager
    async def handle(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Runs a request and yields its answer.

        Args:
            request: The request.
            body: Its body.

        Raises:
            RefusedError: There is no answer; `outcome` tells what is known.
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
        tried: set[str] = set()
        refusal: RefusedError | None = None
        while True:
            candidate = self._router.choose(
                accepted.configuration, request.service, tried
            )
            if candidate is None:
                raise refusal or RefusedError(
                    "no_instance",
                    f"no instance of {request.service!r} takes work",
                    step="route",
                )
            try:
                return await self._try_candidate(
                    stack, request, body, candidate
                )
            except RefusedError as exc:
                if not self._may_retry(request, exc):
                    raise
                refusal = exc
                tried.add(candidate.node_id)

    async def _try_candidate(
        self,
        stack: AsyncExitStack,
        request: Request,
        body: Body,
        candidate: Candidate,
    ) -> Response:
        started = self._clock.monotonic()
        self._router.started(candidate)
        try:
            response = await stack.enter_async_context(
                self._dispatcher.dispatch(request, body, candidate)
            )
        except BaseException as exc:
            latency = self._clock.monotonic() - started
            report = exc.report if isinstance(exc, RefusedError) else None
            self._router.finished(candidate, latency, False, report)
            raise
        latency = self._clock.monotonic() - started
        stack.callback(
            self._router.finished,
            candidate,
            latency,
            response.status < 500,
            response.report,
        )
        return response

    def _may_retry(self, request: Request, exc: RefusedError) -> bool:
        if self._clock.monotonic() >= request.deadline:
            return False
        if exc.outcome is Outcome.NOT_RUN:
            return exc.may_retry
        return request.idempotent and exc.may_retry
