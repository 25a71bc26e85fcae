import gc
import random
import tracemalloc
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.route_kind import RouteKind
from rhubarbpaddle.configuration.weighted_service import WeightedService
from rhubarbpaddle.execution.retry_terms import RetryTerms
from rhubarbpaddle.execution.shared_retry_budget import SharedRetryBudget
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_router import InstanceRouter
from rhubarbpaddle.routing.traffic_split import TrafficSplit

_SERVICE = "lanes"
_SECOND = timedelta(seconds=1)


def _make_member(name: str, zone: str) -> Member:
    upstream = UpstreamSummary(_SERVICE, name, 1, UpstreamState.WARM, 6)
    return Member(
        name, 1, 1, MemberStatus.ALIVE, name, zone, f"{name}:1", "", upstream
    )


@given('instances "{names}" in zones "{zones}" seen from zone "{own}"')
def step_instances(context: Context, names: str, zones: str, own: str) -> None:
    pairs = zip(names.split(", "), zones.split(", "), strict=True)
    own_member = _make_member("own", own)._replace(upstream=None)
    context.members = MemberTable(own_member)
    for name, zone in pairs:
        context.members.merge(_make_member(name, zone))
    context.withdrawn = set()


def _run(
    context: Context, scenario: Callable[[InstanceRouter], Awaitable[None]]
) -> None:
    async def run() -> None:
        router = InstanceRouter(
            context.members,
            VirtualClock(),
            random.Random(1),
            lambda zone: zone not in context.withdrawn,
        )
        await scenario(router)

    trio.run(run, clock=MockClock(autojump_threshold=0))


def _choose(router: InstanceRouter, *excluded: str) -> Candidate:
    candidate = router.choose(_SERVICE, excluded)
    assert candidate is not None
    return candidate


@when("{count:d} requests are routed sequentially")
def step_sequential(context: Context, count: int) -> None:
    async def scenario(router: InstanceRouter) -> None:
        for _ in range(count):
            candidate = _choose(router)
            router.record_start(candidate)
            context.chosen.append(candidate.node_id)
            router.record_end(candidate, None)

    context.chosen = []
    _run(context, scenario)


@then('all go to "{name}"')
def step_all(context: Context, name: str) -> None:
    assert set(context.chosen) == {name}, context.chosen


@when(
    '"{name}" reports slowdown factor {slowdown:g} and a request is routed '
    "immediately"
)
def step_reports_slowdown(context: Context, name: str, slowdown: float) -> None:
    async def scenario(router: InstanceRouter) -> None:
        candidate = _choose(router)
        router.record_start(candidate)
        report = LoadReport(1, 0, 4, UpstreamState.WARM, slowdown)
        router.record_end(candidate, report, "instance_slow")
        context.chosen = [_choose(router).node_id]
        await trio.sleep(0.1)
        context.later_choice = _choose(router).node_id

    _run(context, scenario)


@then('it goes to "{name}"')
def step_goes_to(context: Context, name: str) -> None:
    assert context.chosen == [name], context.chosen


@then('0.1 s later a request goes to "{name}" again')
def step_later(context: Context, name: str) -> None:
    assert context.later_choice == name, context.later_choice


@when('"{name}" is unreachable')
def step_unreachable(context: Context, name: str) -> None:
    async def scenario(router: InstanceRouter) -> None:
        candidate = _choose(router)
        assert candidate.node_id == name
        router.record_start(candidate)
        router.record_end(candidate, None, "peer_unreachable")
        context.next_choice = _choose(router).node_id
        context.last_choice = _choose(router, "a1").node_id

    _run(context, scenario)


@when(
    'zone "{zone}" is withdrawn, "{leaving}" leaves and the node beside '
    '"{dead}" is dead'
)
def step_not_accepting(
    context: Context, zone: str, leaving: str, dead: str
) -> None:
    context.withdrawn.add(zone)
    member = context.members.get(leaving)
    upstream = member.upstream._replace(state=UpstreamState.LEAVING)
    context.members.merge(member._replace(version=2, upstream=upstream))
    member = context.members.get(dead)
    context.members.merge(member._replace(status=MemberStatus.DEAD))

    async def scenario(router: InstanceRouter) -> None:
        context.next_choice = _choose(router).node_id
        assert router.choose(_SERVICE, {"a1"}) is None

    _run(context, scenario)


@then('a request goes to "{name}"')
def step_next_request(context: Context, name: str) -> None:
    assert context.next_choice == name, context.next_choice


@then('a request that was already sent to "a1" goes to "{name}"')
def step_next_attempt(context: Context, name: str) -> None:
    assert context.last_choice == name, context.last_choice


@when("{count:d} requests are routed and stay in flight")
def step_in_flight(context: Context, count: int) -> None:
    async def scenario(router: InstanceRouter) -> None:
        for _ in range(count):
            candidate = _choose(router)
            router.record_start(candidate)
            context.chosen.append(candidate.node_id)

    context.chosen = []
    _run(context, scenario)


@then("each instance has {count:d} of them")
def step_each_instance(context: Context, count: int) -> None:
    assert set(Counter(context.chosen).values()) == {count}, context.chosen


@given("a route with weights {first:d} and {second:d}")
def step_weights(context: Context, first: int, second: int) -> None:
    parts = (WeightedService("a", first), WeightedService("b", second))
    context.route = Route(
        "r", "h", "/", RouteKind.IDEMPOTENT, parts, _SECOND, _SECOND, 1, 2
    )


@when("{count:d} requests are divided")
def step_divide(context: Context, count: int) -> None:
    split = TrafficSplit(random.Random(1))
    context.chosen = [split.choose(context.route) for _ in range(count)]


@then("the second service gets between {low:d} and {high:d} of each 100")
def step_share_of_100(context: Context, low: int, high: int) -> None:
    for start in range(len(context.chosen) - 100):
        count = context.chosen[start : start + 100].count("b")
        assert low <= count <= high, (start, count)


@when("{nodes:d} nodes divide {count:d} requests each")
def step_divide_nodes(context: Context, nodes: int, count: int) -> None:
    splits = [TrafficSplit(random.Random(index)) for index in range(nodes)]
    context.chosen = [
        split.choose(context.route) for split in splits for _ in range(count)
    ]


@then("the second service gets between {low:d} and {high:d} of them")
def step_share_of_all(context: Context, low: int, high: int) -> None:
    count = context.chosen.count("b")
    assert low <= count <= high, count


@given(
    "{nodes:d} nodes that share a budget of {slack:d} retries and {ratio:g} "
    "per request in {window:d} s"
)
def step_budget(
    context: Context, nodes: int, slack: int, ratio: float, window: int
) -> None:
    context.nodes = nodes
    context.terms = RetryTerms(ratio, slack, timedelta(seconds=window))


def _make_budgets(context: Context) -> list[SharedRetryBudget]:
    return [
        SharedRetryBudget(context.terms, VirtualClock(), lambda: context.nodes)
        for _ in range(context.nodes)
    ]


@when(
    "each node gets {rate:d} requests per second for {seconds:d} s and retries "
    "if permitted"
)
def step_retry_all(context: Context, rate: int, seconds: int) -> None:
    async def run() -> None:
        budgets = _make_budgets(context)
        for _ in range(rate * seconds):
            for budget in budgets:
                budget.record_request(_SERVICE)
                if budget.try_spend(_SERVICE, may_have_run=True):
                    context.retries.append(trio.current_time())
            await trio.sleep(1 / rate)

    context.retries = []
    context.rate = rate * context.nodes
    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    "no period of {window:d} s has more than {slack:d} retries plus "
    "{ratio:g} per request"
)
def step_within_budget(
    context: Context, window: int, slack: int, ratio: float
) -> None:
    allowed = slack + ratio * context.rate * window
    assert context.retries
    for first in context.retries[:: context.nodes]:
        count = sum(first <= at < first + window for at in context.retries)
        assert count <= allowed, (first, count)


@when(
    "for {seconds:d} s a third of {rate:d} requests per second run and fail, "
    "and each run makes {calls:d} calls that are refused as not run"
)
def step_retried_calls(
    context: Context, rate: int, calls: int, seconds: int
) -> None:
    async def run() -> None:
        budgets = _make_budgets(context)
        for number in range(rate * seconds):
            budget = budgets[number // 3 % context.nodes]
            budget.record_request(_SERVICE)
            if number % 3:
                await trio.sleep(1 / rate)
                continue
            runs = 1 + budget.try_spend(_SERVICE, may_have_run=True)
            for call in range(runs * calls):
                caller_budget = budgets[(number + call) % context.nodes]
                caller_budget.record_request("lookups")
                context.requests.append(trio.current_time())
                repeated_calls = call >= calls
                repeated_calls += caller_budget.try_spend(
                    "lookups", may_have_run=False
                )
                context.retries += [trio.current_time()] * repeated_calls
            await trio.sleep(1 / rate)

    context.retries = []
    context.requests = []
    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    "the called service gets no more than {slack:d} repeated calls plus "
    "{ratio:g} per call in any period of {window:d} s"
)
def step_called_within_budget(
    context: Context, window: int, slack: int, ratio: float
) -> None:
    assert context.retries
    for first in context.retries[::10]:
        repeated_calls = sum(
            first <= at < first + window for at in context.retries
        )
        requests = sum(first <= at < first + window for at in context.requests)
        allowed = slack + ratio * requests
        assert repeated_calls <= allowed, (first, repeated_calls, allowed)


@when(
    "the node gets {rate:d} requests per second for {seconds:d} s and retries"
    " none"
)
def step_request_without_retries(
    context: Context, rate: int, seconds: int
) -> None:
    (budget,) = _make_budgets(context)

    async def run() -> None:
        for _ in range(rate * seconds):
            budget.record_request(_SERVICE)
            await trio.sleep(1 / rate)

    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        trio.run(run, clock=MockClock(autojump_threshold=0))
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    context.bytes = after - before


@then("its budget occupies at most {count:d} bytes")
def step_check_budget_memory(context: Context, count: int) -> None:
    assert context.bytes <= count, context.bytes


@when(
    '{count:d} requests of "{first}" and then {others:d} of "{second}" fail,'
    " twice within {seconds:d} s"
)
def step_failures(
    context: Context,
    count: int,
    first: str,
    others: int,
    second: str,
    seconds: int,
) -> None:
    names = [first] * count + [second] * others

    async def run() -> None:
        (budget,) = _make_budgets(context)
        for _ in range(2):
            for name in names:
                budget.record_request(_SERVICE, name)
            context.retries.append(
                Counter(
                    name
                    for name in names
                    if budget.try_spend(
                        _SERVICE, may_have_run=False, organisation=name
                    )
                )
            )
            await trio.sleep(seconds)

    context.retries = []
    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    '"{first}" gets {count:d} retries and "{second}" gets {others:d}, each time'
)
def step_retries(
    context: Context, first: str, count: int, second: str, others: int
) -> None:
    expected = {first: count, second: others}
    assert context.retries == [expected] * 2, context.retries
