from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import deferred
from features.support.rollout_world import RolloutWorld
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase

_WORK_SECONDS = 0.05


async def _start(context: Context, new: int, has_limits: bool = True) -> None:
    world = context.world = RolloutWorld(context.nursery)
    if not has_limits:
        world.bounds = {}
    await world.start(new=new)
    context.ordered = {"v1": 0, "v2": 0}


@given("a service with old and new instances under load")
@deferred
async def step_start(context: Context) -> None:
    await _start(context, 2)


@given("a service with old instances only, under load")
@deferred
async def step_start_old(context: Context) -> None:
    await _start(context, 0)


@given("a service without limits of roll-outs, under load")
@deferred
async def step_start_without_limits(context: Context) -> None:
    await _start(context, 2, has_limits=False)


@when("the new version fails {percent:d} % of its requests")
@deferred
async def step_fail(context: Context, percent: int) -> None:
    context.world.set_failures("v2", percent / 100)


@when("the new version breaks off all of its responses")
@deferred
async def step_break_off(context: Context) -> None:
    context.world.break_off_responses("v2")


@when("the new version fails 50 % on one route")
@deferred
async def step_fail_route(context: Context) -> None:
    context.world.set_failures("v2", 0.5, "/lanes/other/")


@when("the new version works 3 times longer")
@deferred
async def step_work_longer(context: Context) -> None:
    context.world.set_work_seconds("v2", 3 * _WORK_SECONDS)


@when("the new version fails all requests after 4 s")
@deferred
async def step_fail_late(context: Context) -> None:
    async def fail() -> None:
        await trio.sleep(4)
        context.world.set_failures("v2", 1.0)

    context.nursery.start_soon(fail)


@when("the new version is repaired")
@deferred
async def step_repair(context: Context) -> None:
    context.world.set_failures("v2", 0.0)


@when("operators order the new version")
@deferred
async def step_order(context: Context) -> None:
    world: RolloutWorld = context.world
    context.ordered = {v: world.count_arrivals(v) for v in ("v1", "v2")}
    world.order()


@when("{seconds:g} s later operators order the version in use")
@deferred
async def step_order_old(context: Context, seconds: float) -> None:
    await trio.sleep(seconds)
    context.world.order("v1")


@when("{seconds:g} s later operators delete the order")
@deferred
async def step_delete(context: Context, seconds: float) -> None:
    await trio.sleep(seconds)
    context.world.delete_order()


@when("2 s later both versions fail half of their requests for 1 s")
@deferred
async def step_fail_both(context: Context) -> None:
    await trio.sleep(2)
    for version in ("v1", "v2"):
        context.world.set_failures(version, 0.5)
    await trio.sleep(1)
    for version in ("v1", "v2"):
        context.world.set_failures(version, 0.0)


@when("2 s later both versions work 4 times longer for 1 s")
@deferred
async def step_slow_both(context: Context) -> None:
    await trio.sleep(2)
    for version in ("v1", "v2"):
        context.world.set_work_seconds(version, 4 * _WORK_SECONDS)
    await trio.sleep(1)
    for version in ("v1", "v2"):
        context.world.set_work_seconds(version, _WORK_SECONDS)


@when("the store fails from the decision on until the deciding node was killed")
@deferred
async def step_kill_decider(context: Context) -> None:
    world: RolloutWorld = context.world
    await world.wait_for_state("running", 3)
    world.store.status = 503
    decider = world.get_decider()
    stopped = trio.Event()

    def handle_notice(notice: object, source: str | None) -> None:
        if getattr(notice, "phase", None) is RolloutPhase.STOPPED:
            stopped.set()

    world.nodes[decider]._rollouts.board.add_listener(handle_notice)
    await stopped.wait()
    await world.stop_node(decider)
    world.store.status = 0


@when("the store rejects the deciding node")
@deferred
async def step_reject_decider(context: Context) -> None:
    world: RolloutWorld = context.world
    await world.wait_for_state("running", 3)
    decider = world.get_decider()
    world.fabric.refused.add((decider, "store"))
    world.fabric.reset_connections(decider, "store")
    world.fabric.reset_connections("store", decider)


@when("2 s later the hosts of the new instances are partitioned for 14 s")
@deferred
async def step_partition(context: Context) -> None:
    world: RolloutWorld = context.world
    await trio.sleep(2)
    minority = ("n0", "n1")
    for name in minority:
        for other in (*world.nodes, "store"):
            if other not in minority:
                world.fabric.block_both_ways(name, other)
    await trio.sleep(14)
    world.fabric.blocked.clear()


@when("the store loses the responses of appends")
@deferred
async def step_lose_responses(context: Context) -> None:
    context.world.store.loses_responses = True


@when("the store runs appends {seconds:g} s late")
@deferred
async def step_append_late(context: Context, seconds: float) -> None:
    context.world.store.append_delay = seconds


@when("the store takes 0.24 s for each call")
@deferred
async def step_slow_store(context: Context) -> None:
    context.world.store.delay = 0.24


@when("the store is unavailable from 1 s on for 8 s")
@deferred
async def step_store_outage(context: Context) -> None:
    await trio.sleep(1)
    context.world.store.status = 503
    await trio.sleep(8)
    context.world.store.status = 0


@when("{seconds:g} s later all nodes are killed and started again")
@deferred
async def step_kill_all(context: Context, seconds: float) -> None:
    world: RolloutWorld = context.world
    await trio.sleep(seconds)
    zones = {
        name: node.settings.availability_zone
        for name, node in world.nodes.items()
    }
    # The first reports arrive late, as on the platform.
    world.report_interval = 1.5
    for name in zones:
        await world.stop_node(name)
    await trio.sleep(0.5)
    for name, zone in zones.items():
        await world.start_node(name, zone, is_first_start=False)


@when("a new instance starts that sends no report")
@deferred
async def step_start_unreported(context: Context) -> None:
    world: RolloutWorld = context.world
    await world.start_version("n9", "v2", "a")
    world.stop_reports("n9")


@when("new instances start")
@deferred
async def step_start_new(context: Context) -> None:
    world: RolloutWorld = context.world
    context.ordered = {v: world.count_arrivals(v) for v in ("v1", "v2")}
    for name, zone in (("n0", "a"), ("n1", "b")):
        await world.start_version(name, "v2", zone)


@when('instances of version "{version}" start')
@deferred
async def step_start_version(context: Context, version: str) -> None:
    for name, zone in (("m0", "a"), ("m1", "b")):
        await context.world.start_version(name, version, zone)


@when("all old instances are replaced one after the other")
@deferred
async def step_replace_all(context: Context) -> None:
    context.counts = {}
    for name in ("o0", "o1", "o2", "o3"):
        context.world.replace_instance(name, "v2")
        arrivals = context.world.instances[name].arrivals
        # The report arrives within 0.5 s.
        await trio.sleep(0.5)
        count = len(arrivals)
        await trio.sleep(1.5)
        context.counts[name] = len(arrivals) - count


@then("each of the new ones has got requests within 2 s")
@deferred
async def step_check_replaced(context: Context) -> None:
    assert all(context.counts.values()), context.counts


@when("2 s later the node beside a new instance is cut off")
@deferred
async def step_cut_off(context: Context) -> None:
    world: RolloutWorld = context.world
    await trio.sleep(2)
    for other in (*world.nodes, "store"):
        if other != "n0":
            world.fabric.block_both_ways("n0", other)


@when("the clocks jump by {seconds:g} s")
@deferred
async def step_jump(context: Context, seconds: float) -> None:
    context.world.clock.wall_offset += timedelta(seconds=seconds)


@when("3 s later the store deletes its history")
@deferred
async def step_delete_history(context: Context) -> None:
    await trio.sleep(3)
    for topic in ("keyed.op", "keyed.status"):
        context.world.store.discard_history(topic)


@when("1 s later nothing {direction} the node beside a new instance arrives")
@deferred
async def step_block_one_way(context: Context, direction: str) -> None:
    world: RolloutWorld = context.world
    await trio.sleep(1)
    for other in (*world.nodes, "store"):
        if other != "n0":
            pair = ("n0", other) if direction == "from" else (other, "n0")
            world.fabric.blocked.add(pair)


@then("no request reaches that instance from 3 s to 7 s after that")
@deferred
async def step_check_cut_off(context: Context) -> None:
    await trio.sleep(3)
    arrivals = context.world.instances["n0"].arrivals
    count = len(arrivals)
    await trio.sleep(4)
    assert len(arrivals) == count, len(arrivals) - count


@then('the roll-out is "{state}" within {seconds:g} s')
@deferred
async def step_check_state(
    context: Context, state: str, seconds: float
) -> None:
    await context.world.wait_for_state(state, seconds)


@then("no request runs at an old instance")
@deferred
async def step_check_idle(context: Context) -> None:
    for name, instance in context.world.instances.items():
        if context.world.versions[name] == "v1":
            assert instance._running == 0, name


@then('no request reaches version "{version}" for {seconds:g} s')
@deferred
async def step_check_none(
    context: Context, version: str, seconds: float
) -> None:
    count = context.world.count_arrivals(version)
    await trio.sleep(seconds)
    more = context.world.count_arrivals(version) - count
    assert more == 0, more


@then('requests reach version "{version}" within {seconds:g} s')
@deferred
async def step_check_some(
    context: Context, version: str, seconds: float
) -> None:
    await context.world.wait_for_arrival(version, seconds)


@then(
    'version "{version}" gets at least a fifth of the requests {seconds:g} s'
    " later"
)
@deferred
async def step_check_fifth(
    context: Context, version: str, seconds: float
) -> None:
    world: RolloutWorld = context.world
    await trio.sleep(seconds)
    names = ("v1", "v2")
    before = {name: world.count_arrivals(name) for name in names}
    await trio.sleep(3)
    counts = {name: world.count_arrivals(name) - before[name] for name in names}
    assert 5 * counts[version] >= sum(counts.values()), counts


@then("the new version has got at most its share")
@deferred
async def step_check_share(context: Context) -> None:
    check_share(context)


def check_share(context: Context) -> None:
    """Checks the share since the order, or since the new instances started."""
    counts = {
        version: context.world.count_arrivals(version) - count
        for version, count in context.ordered.items()
    }
    # The gateways differ from their shares by less than one request each.
    limit = 0.1 * sum(counts.values()) + len(context.world.nodes)
    assert 0 < counts["v2"] <= limit, counts


@then("the new version has got at most its share {seconds:g} s later")
@deferred
async def step_check_share_later(context: Context, seconds: float) -> None:
    await trio.sleep(seconds)
    check_share(context)


@then("all requests have succeeded")
@deferred
async def step_check_success(context: Context) -> None:
    assert set(context.world.statuses) == {200}, context.world.statuses


@then("one terminal state was written")
@then("one terminal state was written {seconds:g} s later")
@deferred
async def step_check_terminal(context: Context, seconds: float = 0.0) -> None:
    await trio.sleep(seconds)
    states = [
        status["state"]
        for status in context.world.list_states()
        if status["state"] != "running"
    ]
    assert len(states) == 1, states


@then("no node knows of a roll-out and none has read the status")
@deferred
async def step_check_no_notices(context: Context) -> None:
    world: RolloutWorld = context.world
    for node in world.nodes.values():
        assert not node._rollouts.board.list_notices()
    assert "keyed.status" not in world.store.topics_read


@then("no node knows of a roll-out after 3 s")
@deferred
async def step_check_no_effect(context: Context) -> None:
    world: RolloutWorld = context.world
    await trio.sleep(3)
    for node in world.nodes.values():
        assert not node._rollouts.board.list_notices()
    assert not world.list_states()


@then('the metrics show phase {phase:d} of version "{version}" after 2 s')
@deferred
async def step_check_metrics(
    context: Context, phase: int, version: str
) -> None:
    await trio.sleep(2)
    response = await context.world.send("o0:3", "GET", "/metrics", {})
    lines = response.body.decode().splitlines()
    (line,) = [
        line
        for line in lines
        if line.startswith("rhubarbpaddle_rollout_phase{")
    ]
    assert f'target="{version}"' in line, line
    assert line.endswith(f" {phase:.1f}"), line


@when("operators order the new version of this and of an unknown service")
@deferred
async def step_order_two(context: Context) -> None:
    context.world.order()
    context.world.order(service="unknown")


@then('that of the unknown service is "{state}" within {seconds:g} s')
@deferred
async def step_check_unknown(
    context: Context, state: str, seconds: float
) -> None:
    await trio.sleep(seconds)
    states = [s["state"] for s in context.world.list_states("unknown")]
    assert states == ["running", state], states


@when('{seconds:g} s later zone "{zone}" is drained')
@deferred
async def step_drain(context: Context, seconds: float, zone: str) -> None:
    await trio.sleep(seconds)
    context.world.store.put("keyed.op", f"evacuate/{zone}", b"{}")


@when("{seconds:g} s later a {kind} instance crashes")
@when("{seconds:g} s later an {kind} instance crashes")
@deferred
async def step_crash(context: Context, seconds: float, kind: str) -> None:
    await trio.sleep(seconds)
    name = {"new": "n1", "old": "o1"}[kind]
    context.world.stop_reports(name)
    context.world.fabric.stop_listening(f"{name}:9")
    context.world.fabric.reset_connections(name, name)


@when("{seconds:g} s later the node beside a new instance restarts")
@deferred
async def step_restart_node(context: Context, seconds: float) -> None:
    world: RolloutWorld = context.world
    await trio.sleep(seconds)
    zone = world.nodes["n1"].settings.availability_zone
    await world.stop_node("n1")
    await trio.sleep(0.3)
    await world.start_node("n1", zone, is_first_start=False)


@then("at most {count:d} requests have failed")
@deferred
async def step_check_failures(context: Context, count: int) -> None:
    failed = [s for s in context.world.statuses if s != 200]
    assert len(failed) <= count, failed
