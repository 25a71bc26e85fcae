from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import h11
import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import strategies as st
from trio.testing import MockClock

from features.steps.routing_steps import (
    make_configuration,
    make_router,
    set_up,
)
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Body, BytesBody, Request, Response
from rhubarbpaddle.execution.chain_headers import add_chain_headers
from rhubarbpaddle.execution.gateway import Gateway
from rhubarbpaddle.execution.retry_budget import RetryBudget
from rhubarbpaddle.http.caller_head import CallerHead
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.routing.candidate import Candidate

_SERVICE = "lanes"
_TIMEOUT_SECONDS = 1.0
_Behaviour = Callable[[Request, Candidate, int], Response]


class FakeDispatcher:
    """Records the attempts and responds to each as a function decides."""

    def __init__(self, behave: _Behaviour, delay: float = 0.0) -> None:
        self.attempts: list[Request] = []
        self._behave = behave
        self._delay = delay

    @asynccontextmanager
    async def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AsyncIterator[Response]:
        self.attempts.append(request)
        await trio.sleep(self._delay)
        yield self._behave(request, candidate, len(self.attempts))


class ChainDispatcher:
    """Acts as an instance that calls the next service of a chain."""

    def __init__(self, next_gateway: Gateway) -> None:
        self._next_gateway = next_gateway

    @asynccontextmanager
    async def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AsyncIterator[Response]:
        call = request._replace(depth=request.depth + 1, may_queue=True)
        try:
            async with self._next_gateway.handle(call, body) as response:
                yield response
        except RefusedError as exc:
            yield Response(exc.status, [], BytesBody(b""), None)


def make_gateway(
    context: Context,
    dispatcher: FakeDispatcher | ChainDispatcher,
) -> Gateway:
    accepted = AcceptedConfiguration(1, "", "", 0, context.cfg)
    return Gateway(
        make_router(context), dispatcher, VirtualClock(), lambda: accepted
    )


def make_request(idempotent: bool = True, attempt: int = 1) -> Request:
    return Request(
        "r",
        "t",
        _SERVICE,
        "GET",
        "/",
        [],
        trio.current_time() + _TIMEOUT_SECONDS,
        idempotent,
        attempt=attempt,
    )


async def send(context: Context, gateway: Gateway, request: Request) -> None:
    handled: AbstractAsyncContextManager[Response]
    handled = gateway.handle(request, BytesBody(b"x"))
    try:
        async with handled as response:
            context.statuses.append(response.status)
            context.outcome = None
    except RefusedError as exc:
        context.statuses.append(exc.status)
        context.outcome = exc.outcome


def make_refusal(code: str, step: str, outcome: Outcome) -> RefusedError:
    return RefusedError(
        code, "refused", step=step, outcome=outcome, may_retry=True
    )


def lose(request: Request, candidate: Candidate, count: int) -> Response:
    raise make_refusal("peer_lost", "exchange", Outcome.UNKNOWN)


def prepare(
    context: Context, count: int, behave: _Behaviour, delay: float = 0.0
) -> None:
    set_up(context, ["a"] * count)
    context.dispatcher = FakeDispatcher(behave, delay)
    context.make = lambda: make_gateway(context, context.dispatcher)


@given("a chain of {depth:d} services whose last instances are lost")
def step_chain(context: Context, depth: int) -> None:
    prepare(context, 5, lose)

    def make() -> Gateway:
        gateway = make_gateway(context, context.dispatcher)
        for _ in range(depth - 1):
            gateway = make_gateway(context, ChainDispatcher(gateway))
        return gateway

    context.make = make


@given('{count:d} instances that refuse with "{code}" at step "{step}"')
def step_refuse(context: Context, count: int, code: str, step: str) -> None:
    def behave(request: Request, candidate: Candidate, n: int) -> Response:
        raise make_refusal(code, step, Outcome.NOT_RUN)

    prepare(context, count, behave)


@given("{count:d} instances that are lost")
def step_lost(context: Context, count: int) -> None:
    prepare(context, count, lose)


@given("{count:d} instances that are lost first and then refuse")
def step_lost_refuse(context: Context, count: int) -> None:
    def behave(request: Request, candidate: Candidate, n: int) -> Response:
        if n == 1:
            return lose(request, candidate, n)
        raise make_refusal("upstream_leaving", "admit", Outcome.NOT_RUN)

    prepare(context, count, behave)


@given("{count:d} instances of which one responds with 503")
def step_503(context: Context, count: int) -> None:
    def behave(request: Request, candidate: Candidate, n: int) -> Response:
        status = 503 if candidate.instance == "i0" else 200
        return Response(status, [], BytesBody(b""), None)

    prepare(context, count, behave)


@given("{count:d} instances that refuse after the deadline")
def step_late(context: Context, count: int) -> None:
    def behave(request: Request, candidate: Candidate, n: int) -> Response:
        raise make_refusal("no_free_slot", "admit", Outcome.NOT_RUN)

    prepare(context, count, behave, delay=_TIMEOUT_SECONDS + 0.1)


@given("{count:d} instances of which one is gone and the others are full")
def step_gone_full(context: Context, count: int) -> None:
    context.queued = []

    def behave(request: Request, candidate: Candidate, n: int) -> Response:
        if candidate.instance == "i0":
            raise make_refusal("instance_gone", "admit", Outcome.NOT_RUN)
        if not request.may_queue:
            raise make_refusal("no_free_slot", "admit", Outcome.NOT_RUN)
        context.queued.append(candidate.instance)
        return Response(200, [], BytesBody(b""), None)

    prepare(context, count, behave)


@given('instances "{full}" that is full and "{gone}" that is gone')
def step_full_gone(context: Context, full: str, gone: str) -> None:
    def behave(request: Request, candidate: Candidate, n: int) -> Response:
        if candidate.instance == gone:
            raise make_refusal("instance_gone", "admit", Outcome.NOT_RUN)
        if not request.may_queue:
            raise make_refusal("no_free_slot", "admit", Outcome.NOT_RUN)
        return Response(200, [], BytesBody(b""), None)

    prepare(context, 2, behave)


@given("{count:d} instances that never respond")
def step_silent(context: Context, count: int) -> None:
    prepare(context, count, lose, delay=1e9)


@when("{count:d} requests are sent to them")
@when("{count:d} idempotent requests are sent into the chain")
def step_send(context: Context, count: int) -> None:
    run_requests(context, count)


@when("a non-idempotent request is sent to them")
def step_send_unsafe(context: Context) -> None:
    run_requests(context, 1, idempotent=False)


@when("a request with attempt {attempt:d} is sent to them")
def step_send_attempt(context: Context, attempt: int) -> None:
    run_requests(context, 1, attempt=attempt)


def run_requests(
    context: Context, count: int, idempotent: bool = True, attempt: int = 1
) -> None:
    async def run() -> None:
        gateway = context.make()
        for _ in range(count):
            before = len(context.dispatcher.attempts)
            await send(context, gateway, make_request(idempotent, attempt))
            attempts = len(context.dispatcher.attempts) - before
            context.max_attempts = max(context.max_attempts, attempts)

    context.count = count
    context.max_attempts = 0
    context.statuses = []
    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    "the last service received at most {ratio:g} attempts for each request "
    "plus {n:d}"
)
@then("there were at most {ratio:g} attempts for each request plus {n:d}")
def step_bounded(context: Context, ratio: float, n: int) -> None:
    attempts = len(context.dispatcher.attempts)
    assert context.count <= attempts <= ratio * context.count + n, attempts


@then("each request had at most {attempts:d} attempts")
def step_most(context: Context, attempts: int) -> None:
    assert 1 < context.max_attempts <= attempts, context.max_attempts


@then('the attempts permitted queueing as "{expected}"')
def step_queueing(context: Context, expected: str) -> None:
    found = [
        "yes" if request.may_queue else "no"
        for request in context.dispatcher.attempts
    ]
    assert ", ".join(found) == expected, found


@then('it had {attempts:d} attempts and its outcome is "{outcome}"')
def step_outcome(context: Context, attempts: int, outcome: str) -> None:
    assert len(context.dispatcher.attempts) == attempts, (
        context.dispatcher.attempts
    )
    assert context.outcome == outcome, context.outcome


@then("every request got status {status:d}")
def step_status(context: Context, status: int) -> None:
    assert Counter(context.statuses) == {status: context.count}


@then("retries never exceed the ratio plus the initial tokens")
def step_budget(context: Context) -> None:
    cfg = make_configuration({})._replace(
        services={_SERVICE: Service(_SERVICE, retry_ratio=0.25)}
    )

    @for_all(st.lists(st.booleans(), max_size=200))
    def check(steps: list[bool]) -> None:
        budget = RetryBudget()
        calls = retries = 0
        for is_call in steps:
            if is_call:
                calls += 1
                budget.record_call(cfg, _SERVICE)
            else:
                retries += budget.try_spend(_SERVICE)
            assert retries <= 0.25 * calls + 10

    check()


@then("every request after the first was permitted to queue at {names}")
def step_queued(context: Context, names: str) -> None:
    assert len(context.queued) >= context.count - 1, context.queued
    assert all(f'"{name}"' in names for name in context.queued)


@then("an upstream receives the next depth, the attempt and the remaining time")
def step_headers(context: Context) -> None:
    inbound = [(b"rhubarbpaddle-depth", b"7"), (b"x", b"y")]
    request = Request(
        "r", "t", _SERVICE, "GET", "/", inbound, 9.5, True, "", 2, 7
    )
    sent = add_chain_headers(request, now=9.0)
    assert (b"rhubarbpaddle-attempt", b"2") in sent.headers
    assert (b"rhubarbpaddle-depth", b"8") in sent.headers
    assert (b"rhubarbpaddle-timeout-ms", b"500") in sent.headers
    assert len(sent.headers) == 4, sent.headers


@then("any headers of a caller give a valid attempt and depth or an error")
def step_any_headers(context: Context) -> None:
    @for_all(st.binary(max_size=12), st.binary(max_size=12))
    def check(attempt: bytes, depth: bytes) -> None:
        try:
            head = h11.Request(
                method="GET",
                target="/",
                headers=[
                    (b"host", _SERVICE.encode()),
                    (b"rhubarbpaddle-attempt", attempt),
                    (b"rhubarbpaddle-depth", depth),
                ],
            )
        except h11.LocalProtocolError:
            return
        try:
            found = CallerHead.from_head(head, "192.0.2.1")
        except RefusedError as exc:
            assert exc.status in (400, 508), exc
            return
        assert found.attempt >= 1
        assert found.depth >= 0

    check()
