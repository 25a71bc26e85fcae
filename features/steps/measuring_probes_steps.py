from collections import Counter

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.cluster import Cluster
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.measuring import ProbeBudget

_CONFIGURATION = {
    "services": {"lanes": {"slots": 6}},
    "availability_zones": {"a": {}},
}


@given("{load} upstream whose probes may take 1 % of its time at 6 ms each")
def step_upstream(context: Context, load: str) -> None:
    context.busy = load == "a busy"


@when("{seconds:d} s pass")
def step_pass(context: Context, seconds: int) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = await _start(nursery, context.busy)
            await trio.sleep(seconds)
            context.probes = Counter(cluster.upstreams["a"].probes)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@when("its announcements stop after {before:d} s and resume {after:d} s later")
def step_announcements_stop(context: Context, before: int, after: int) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = await _start(nursery, context.busy)
            node = cluster.nodes["a"]
            await trio.sleep(before)
            assert node.get_status().limit == 6
            incarnation = cluster.incarnations.pop("a")
            stopped_at = trio.current_time()
            while node.get_status().upstream_state != "down":
                await trio.sleep(0.01)
                assert trio.current_time() < stopped_at + after
            context.detection_seconds = trio.current_time() - stopped_at
            context.refusal = await cluster.send("a", "lanes")
            await trio.sleep(after)
            cluster.incarnations["a"] = incarnation
            for _ in range(100):
                await trio.sleep(0.01)
                if node.get_status().upstream_state == "warm":
                    break
            context.limit = node.get_status().limit
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    "it was probed at least {least:d} and at most {most:d} times,"
    ' "/health" and "/load" equally often'
)
def step_probed(context: Context, least: int, most: int) -> None:
    assert least <= context.probes.total() <= most, context.probes
    assert abs(context.probes["/health"] - context.probes["/load"]) <= 1


@then("it was probed at most {most:d} time")
def step_probed_at_most(context: Context, most: int) -> None:
    assert context.probes.total() <= most, context.probes


@then('its state is "down" within {seconds:d} s')
def step_down(context: Context, seconds: int) -> None:
    assert context.detection_seconds <= seconds, context.detection_seconds
    assert context.refusal.status == 503
    assert context.refusal.headers["rhubarbpaddle-outcome"] == "not-run"


@then("after its return its limit starts from {limit:d}")
def step_limit_after(context: Context, limit: int) -> None:
    assert context.limit == limit, context.limit


@given("a probe budget of {share:g} % at {cost:g} ms each")
def step_budget(context: Context, share: float, cost: float) -> None:
    context.budget_arguments = (share / 100, cost / 1000)


@when("each probe takes {cost:g} ms for {seconds:g} s")
def step_long_probes(context: Context, cost: float, seconds: float) -> None:
    async def run() -> None:
        budget = ProbeBudget(*context.budget_arguments, VirtualClock())
        probe_seconds = 0.0
        while trio.current_time() < seconds:
            await trio.sleep(0.1)
            if budget.try_spend():
                budget.charge_excess(cost / 1000)
                probe_seconds += cost / 1000
        context.share = probe_seconds / seconds

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("probes took at most {share:g} % of the time")
def step_share(context: Context, share: float) -> None:
    assert 0 < context.share <= share / 100, context.share


@then("no probe is permitted at once, and {count:d} after an hour without any")
def step_no_burst(context: Context, count: int) -> None:
    async def run() -> None:
        budget = ProbeBudget(*context.budget_arguments, VirtualClock())
        assert not budget.try_spend()
        await trio.sleep(3_600)
        assert sum(budget.try_spend() for _ in range(10)) == count

    trio.run(run, clock=MockClock(autojump_threshold=0))


async def _start(nursery: trio.Nursery, busy: bool) -> Cluster:
    cluster = Cluster(nursery)
    await cluster.start_log()
    cluster.publish(_CONFIGURATION, base=0)
    await cluster.start_node("a", "a")
    await trio.sleep(1)
    await cluster.start_upstream("a", "lanes", work_seconds=0.05)

    async def call() -> None:
        while True:
            await cluster.send("a", "lanes")
            await trio.sleep(0.05)

    for _ in range(8 if busy else 0):
        nursery.start_soon(call)
    return cluster
