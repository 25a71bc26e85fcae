from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from itertools import cycle

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.usage_fleet import LINK_SILENCE_SECONDS, UsageFleet
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.membership import MemberStatus
from rhubarbpaddle.routing.rendezvous import get_weight
from rhubarbpaddle.usage.quota_terms import QuotaTerms

TERMS = QuotaTerms(timedelta(seconds=5), 0.1, 20)
# After this time all buckets are full.
SETTLE_SECONDS = 10.0

Scenario = Callable[[UsageFleet, trio.Nursery], Awaitable[None]]


def run(context: Context, scenario: Scenario) -> None:
    """Runs a scenario on nodes `n0`, `n1` and so on without a network."""

    async def run_scenario() -> None:
        fleet = context.fleet = UsageFleet(TERMS, [context.organisation])
        async with trio.open_nursery() as nursery:
            fleet.start(nursery, context.node_ids)
            await trio.sleep(SETTLE_SECONDS)
            await scenario(fleet, nursery)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()

    trio.run(run_scenario, clock=MockClock(autojump_threshold=0))


def find_owner(context: Context) -> str:
    return max(context.node_ids, key=lambda name: get_weight("club", name))


async def send_excess(
    fleet: UsageFleet, node_ids: Iterable[str], seconds: float
) -> None:
    """Sends more requests through some gateways than the cap permits."""
    async with trio.open_nursery() as nursery:
        for _ in range(round(seconds / 0.1)):
            for node_id in node_ids:
                for _ in range(20):
                    nursery.start_soon(fleet.send, node_id, "club")
            await trio.sleep(0.1)


@given(
    "{count:d} gateways that share a cap of {rate:g} and a burst of {burst:g}"
)
def step_create_fleet(
    context: Context, count: int, rate: float, burst: float
) -> None:
    context.node_ids = [f"n{index}" for index in range(count)]
    context.organisation = Organisation("club", rate=rate, burst=burst)


@when("{clumps:d} clumps of {size:d} requests arrive {seconds:g} s apart")
def step_send_clumps(
    context: Context, clumps: int, size: int, seconds: float
) -> None:
    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        for _, name in zip(
            range(clumps), cycle(context.node_ids), strict=False
        ):
            for _ in range(size):
                nursery.start_soon(fleet.send, name, "club")
            await trio.sleep(seconds)

    run(context, scenario)


@when(
    "all nodes respond to queries after {delay:g} s and {count:d} requests"
    " arrive at each"
)
def step_send_while_slow(context: Context, delay: float, count: int) -> None:
    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        for name in context.node_ids:
            fleet.nodes[name].response_delay = delay
        for name in context.node_ids:
            for _ in range(count):
                nursery.start_soon(fleet.send, name, "club")
            await trio.sleep(1)

    run(context, scenario)


@then("the gateways refuse none")
def step_check_none_refused(context: Context) -> None:
    assert not context.fleet.refused, context.fleet.refused


@when("the owner's process ends after it has granted its burst")
def step_kill_spent_owner(context: Context) -> None:
    owner = find_owner(context)
    others = [name for name in context.node_ids if name != owner]

    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        await send_excess(fleet, others, 0.2)
        fleet.kill(nursery, owner)
        await send_excess(fleet, others, 5)

    run(context, scenario)


@when("a gateway has tokens in advance and no request for {seconds:g} s")
def step_hold_tokens(context: Context, seconds: float) -> None:
    owner = find_owner(context)
    name = next(name for name in context.node_ids if name != owner)

    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        node = fleet.nodes[name]
        for _ in range(10):
            await fleet.send(name, "club")
        # A request that needs no query shows that there are tokens.
        while True:
            before = node.sent_count
            await fleet.send(name, "club")
            if node.sent_count > before:
                await fleet.send(name, "club")
                assert node.sent_count == before + 1
                break
        await trio.sleep(seconds)
        before = node.sent_count
        await fleet.send(name, "club")
        context.queries = node.sent_count - before

    run(context, scenario)


@then("the next request needs a query")
def step_check_query(context: Context) -> None:
    assert context.queries == 1, context.queries


@when("all nodes restart without contact or a directory")
def step_restart_alone(context: Context) -> None:
    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        for name in context.node_ids:
            fleet.kill(nursery, name)
        await trio.sleep(LINK_SILENCE_SECONDS)
        fleet.has_directory = False
        fleet.partition(
            nursery, {name: i for i, name in enumerate(context.node_ids)}
        )
        fleet.start(nursery, context.node_ids)
        await send_excess(fleet, context.node_ids, 5)

    run(context, scenario)


@when("all others suspect the owner for 9 s and ask the next node meanwhile")
def step_suspect_owner(context: Context) -> None:
    owner = find_owner(context)
    others = [name for name in context.node_ids if name != owner]

    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        suspected = fleet.nodes[owner]
        for name in others:
            fleet.nodes[name].set_status(suspected, MemberStatus.SUSPECT)
        # The next node's bucket is full 6 s after it became the owner.
        await trio.sleep(8)
        await send_excess(fleet, others, 1)
        suspected.table.update_own(status=MemberStatus.ALIVE)
        for name in others:
            fleet.nodes[name].learn(suspected)
        await send_excess(fleet, others, 4)

    run(context, scenario)


@when("the owner resumes after 12 s while the next node grants tokens")
def step_resume_owner(context: Context) -> None:
    owner = find_owner(context)
    others = [name for name in context.node_ids if name != owner]

    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        fleet.freeze(nursery, owner)
        await trio.sleep(11)
        await send_excess(fleet, others, 1)
        fleet.resume(nursery, owner)
        await send_excess(fleet, [owner], 4)

    run(context, scenario)


@when("the owner and the next {count:d} nodes are each cut off alone for 8 s")
def step_cut_off_alone(context: Context, count: int) -> None:
    ranking = sorted(
        context.node_ids,
        key=lambda name: get_weight("club", name),
        reverse=True,
    )
    groups = {name: i for i, name in enumerate(ranking[: count + 1], start=1)}

    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        await send_excess(fleet, context.node_ids, 0.3)
        fleet.partition(nursery, groups)
        await send_excess(fleet, context.node_ids, 8)
        fleet.partition(nursery, dict.fromkeys(groups, 0))
        await send_excess(fleet, context.node_ids, 5)

    run(context, scenario)


@when("they exceed the cap and fall into {count:d} parts {seconds:g} s later")
def step_split(context: Context, count: int, seconds: float) -> None:
    groups = {name: i % count for i, name in enumerate(context.node_ids)}

    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        await send_excess(fleet, context.node_ids, seconds)
        fleet.partition(nursery, groups)
        await send_excess(fleet, context.node_ids, 8)

    run(context, scenario)


@when("2 gateways are cut off together for 8 s and use up their part")
def step_cut_off_pair(context: Context) -> None:
    owner = find_owner(context)
    pair = [name for name in context.node_ids if name != owner][:2]

    async def scenario(fleet: UsageFleet, nursery: trio.Nursery) -> None:
        fleet.partition(nursery, dict.fromkeys(pair, 1))
        await send_excess(fleet, pair, 8)
        fleet.partition(nursery, dict.fromkeys(pair, 0))
        await trio.sleep(2)
        context.is_admitted = await fleet.send(pair[0], "club")

    run(context, scenario)


@then("they admit a request 2 s after the partition")
def step_check_admitted_after(context: Context) -> None:
    assert context.is_admitted


@then("the gateways stay within the tolerated excess")
def step_check_limit(context: Context) -> None:
    most = context.fleet.get_most_in_window("club")
    limit = context.fleet.get_limit("club")
    assert context.organisation.burst / 6 < most <= limit, (most, limit)


@then("each gateway ran at most its part of a tenth of the cap")
def step_check_allowances(context: Context) -> None:
    ran = len(context.fleet.admitted_at["club"])
    # A substitute may run 4 at once and 2.4 a second.
    assert ran <= 4 + 2.4 * 5, ran
