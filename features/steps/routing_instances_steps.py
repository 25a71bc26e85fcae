import random
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration import Route, RouteKind, WeightedService
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
from rhubarbpaddle.routing import Candidate
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
    context: Context, script: Callable[[InstanceRouter], Awaitable[None]]
) -> None:
    async def run() -> None:
        router = InstanceRouter(
            context.members,
            VirtualClock(),
            random.Random(1),
            lambda zone: zone not in context.withdrawn,
        )
        await script(router)

    trio.run(run, clock=MockClock(autojump_threshold=0))


def _choose(router: InstanceRouter, *tried: str) -> Candidate:
    candidate = router.choose(_SERVICE, tried)
    assert candidate is not None
    return candidate


@when("{count:d} requests are placed one after the other")
def step_place(context: Context, count: int) -> None:
    async def script(router: InstanceRouter) -> None:
        for _ in range(count):
            candidate = _choose(router)
            router.started(candidate)
            context.chosen.append(candidate.node_id)
            router.finished(candidate, None)

    context.chosen = []
    _run(context, script)


@then('all go to "{name}"')
def step_all(context: Context, name: str) -> None:
    assert set(context.chosen) == {name}, context.chosen


@when('"{name}" reports pace {pace:g} and a request is placed at once')
def step_slow(context: Context, name: str, pace: float) -> None:
    async def script(router: InstanceRouter) -> None:
        candidate = _choose(router)
        router.started(candidate)
        report = LoadReport(1, 0, 4, UpstreamState.WARM, pace)
        router.finished(candidate, report, "instance_slow")
        context.chosen = [_choose(router).node_id]
        await trio.sleep(0.1)
        context.later = _choose(router).node_id

    _run(context, script)


@then('it goes to "{name}"')
def step_goes(context: Context, name: str) -> None:
    assert context.chosen == [name], context.chosen


@then('0.1 s later a request goes to "{name}" again')
def step_later(context: Context, name: str) -> None:
    assert context.later == name, context.later


@when('"{name}" can\'t be reached')
def step_unreachable(context: Context, name: str) -> None:
    async def script(router: InstanceRouter) -> None:
        candidate = _choose(router)
        assert candidate.node_id == name
        router.started(candidate)
        router.finished(candidate, None, "peer_unreachable")
        context.next = _choose(router).node_id
        context.last = _choose(router, "a1").node_id

    _run(context, script)


@when(
    'zone "{zone}" is withdrawn, "{leaving}" leaves and the node beside '
    '"{dead}" is dead'
)
def step_unusable(context: Context, zone: str, leaving: str, dead: str) -> None:
    context.withdrawn.add(zone)
    member = context.members.get(leaving)
    upstream = member.upstream._replace(state=UpstreamState.LEAVING)
    context.members.merge(member._replace(version=2, upstream=upstream))
    member = context.members.get(dead)
    context.members.merge(member._replace(status=MemberStatus.DEAD))

    async def script(router: InstanceRouter) -> None:
        context.next = _choose(router).node_id
        assert router.choose(_SERVICE, {"a1"}) is None

    _run(context, script)


@then('a request goes to "{name}"')
def step_next(context: Context, name: str) -> None:
    assert context.next == name, context.next


@then('a request that has tried "a1" goes to "{name}"')
def step_last(context: Context, name: str) -> None:
    assert context.last == name, context.last


@when("{count:d} requests are placed and stay in flight")
def step_in_flight(context: Context, count: int) -> None:
    async def script(router: InstanceRouter) -> None:
        for _ in range(count):
            candidate = _choose(router)
            router.started(candidate)
            context.chosen.append(candidate.node_id)

    context.chosen = []
    _run(context, script)


@then("each instance has {count:d}")
def step_each(context: Context, count: int) -> None:
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


@then("the second part has between {low:d} and {high:d} of each 100")
def step_share(context: Context, low: int, high: int) -> None:
    for start in range(len(context.chosen) - 100):
        count = context.chosen[start : start + 100].count("b")
        assert low <= count <= high, (start, count)


@when("{nodes:d} nodes divide {count:d} requests each")
def step_divide_nodes(context: Context, nodes: int, count: int) -> None:
    splits = [TrafficSplit(random.Random(index)) for index in range(nodes)]
    context.chosen = [
        split.choose(context.route) for split in splits for _ in range(count)
    ]


@then("the second part has between {low:d} and {high:d} of them")
def step_total(context: Context, low: int, high: int) -> None:
    count = context.chosen.count("b")
    assert low <= count <= high, count


@given(
    "{nodes:d} nodes that share {slack:d} retries and {ratio:g} for each "
    "request in {window:d} s"
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
    "each node gets {rate:d} requests a second for {seconds:d} s and retries "
    "all it may"
)
def step_storm(context: Context, rate: int, seconds: int) -> None:
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
    "no {window:d} s have more than {slack:d} retries and {ratio:g} for each "
    "request"
)
def step_within(
    context: Context, window: int, slack: int, ratio: float
) -> None:
    allowed = slack + ratio * context.rate * window
    assert context.retries
    for first in context.retries[:: context.nodes]:
        count = sum(first <= at < first + window for at in context.retries)
        assert count <= allowed, (first, count)


@when(
    "of {rate:d} requests a second a third runs and fails and each run makes "
    "{calls:d} calls that instances refuse as not run, for {seconds:d} s"
)
def step_storm_of_two_levels(
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
                caller = budgets[(number + call) % context.nodes]
                caller.record_request("lookups")
                context.requested.append(trio.current_time())
                repeats = call >= calls
                repeats += caller.try_spend("lookups", may_have_run=False)
                context.retries += [trio.current_time()] * repeats
            await trio.sleep(1 / rate)

    context.retries = []
    context.requested = []
    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    "in no {window:d} s the called service gets more than {slack:d} repeats "
    "and {ratio:g} for each request"
)
def step_called_within(
    context: Context, window: int, slack: int, ratio: float
) -> None:
    assert context.retries
    for first in context.retries[::10]:
        repeats = sum(first <= at < first + window for at in context.retries)
        requests = sum(first <= at < first + window for at in context.requested)
        allowed = slack + ratio * requests
        assert repeats <= allowed, (first, repeats, allowed)
