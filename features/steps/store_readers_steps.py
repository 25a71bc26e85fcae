import random
from itertools import combinations

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import defer_step
from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformWorld,
    make_configuration,
)
from rhubarbpaddle.platform.node import PlatformNode

_CHECK_SECONDS = 0.05


@given("{count:d} nodes in one zone that read the platform's store")
@given("{count:d} nodes in {zones:d} zones that read the platform's store")
def step_nodes(context: Context, count: int, zones: int = 1) -> None:
    async def run_step() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())
        context.started_nodes = count
        for index in range(count):
            await world.start_host(f"h{index}", f"z{index % zones}")
        await trio.sleep(SETTLE_SECONDS)
        for name in world.nodes:
            assert await world.report(name) == 200
        # Wait for the reads that began before the nodes knew each other.
        await trio.sleep(SETTLE_SECONDS)

    defer_step(context, run_step)


@when("a node that isn't a reader is started again")
def step_start_again(context: Context) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        name = next(n for n in world.nodes if not _is_reader(world, n))
        context.calls_before = world.store.count_calls()
        context.restarted = name
        await _restart(world, name)

    defer_step(context, run_step)


@then("it is connected to other nodes")
def step_check_connected(context: Context) -> None:
    async def run_step() -> None:
        node = context.world.nodes[context.restarted]
        assert node.overlay.link_count > 0
        assert len(node.table) == context.started_nodes

    defer_step(context, run_step)


@then("it has called the store at most {count:d} times after {seconds:d} s")
def step_calls_of_restarted(context: Context, count: int, seconds: int) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        await trio.sleep(seconds)
        calls = world.store.count_calls() - context.calls_before
        assert calls <= count, calls

    defer_step(context, run_step)


@when("both readers lose power")
def step_lose_readers(context: Context) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        readers = _list_readers(world)
        assert len(readers) == 2, readers
        for reader in readers:
            del world.nodes[reader]
            for other in (*world.nodes, "store"):
                world.fabric.block_both_ways(reader, other)

    defer_step(context, run_step)


@when("all readers lose power")
def step_lose_all_readers(context: Context) -> None:
    async def run_step() -> None:
        _lose_power(context.world, _list_readers(context.world))

    defer_step(context, run_step)


@when("{count:d} nodes of draw {draw:d} lose power")
def step_lose_drawn(context: Context, count: int, draw: int) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        names = random.Random(draw).sample(sorted(world.nodes), count)
        _lose_power(world, names)

    defer_step(context, run_step)


@when("the nodes run for {seconds:d} s")
def step_wait(context: Context, seconds: int) -> None:
    async def run_step() -> None:
        context.substitutes = set()
        world: PlatformWorld = context.world
        for _ in range(round(seconds / _CHECK_SECONDS)):
            await trio.sleep(_CHECK_SECONDS)
            context.substitutes |= set(_list_substitutes(world))
        context.waiting_reads = world.store.pending_reads

    defer_step(context, run_step)


@then("no node has substituted a reader")
def step_no_substitutes(context: Context) -> None:
    async def run_step() -> None:
        assert not context.substitutes, context.substitutes

    defer_step(context, run_step)


@then("no node is a substitute of a reader")
def step_no_substitute_now(context: Context) -> None:
    async def run_step() -> None:
        substitutes = _list_substitutes(context.world)
        assert not substitutes, substitutes

    defer_step(context, run_step)


@when("all open connections to the store go silent")
def step_go_silent(context: Context) -> None:
    async def run_step() -> None:
        for name in context.world.nodes:
            context.world.fabric.silence(name, "store")

    defer_step(context, run_step)


@when("a record ends all polls and then their connections go silent")
def step_silence_after_record(context: Context) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        world.store.put("keyed.op", "evacuate/unused", b"{}")
        await trio.sleep(_CHECK_SECONDS)
        for name in world.nodes:
            world.fabric.silence(name, "store")

    defer_step(context, run_step)


@when("the store sends no responses until the node has called {count:d} times")
def step_silent_outage(context: Context, count: int) -> None:
    async def run_step() -> None:
        store = context.world.store
        store.is_silent = True
        calls_before = store.calls
        while store.calls < calls_before + count:
            await store.wait_for_call()
        store.is_silent = False

    defer_step(context, run_step)


@when("{seconds:g} s later all control links go silent")
def step_silence_links(context: Context, seconds: float) -> None:
    async def run_step() -> None:
        await trio.sleep(seconds)
        world: PlatformWorld = context.world
        for first, second in combinations(world.nodes, 2):
            world.fabric.silence(first, second)

    defer_step(context, run_step)


@when("the store refuses connections of all its readers")
def step_refuse_readers(context: Context) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        context.readers = _list_readers(world)
        for name in context.readers:
            world.fabric.refused.add((name, "store"))
            world.fabric.reset_connections(name, "store")

    defer_step(context, run_step)


@when("the store refuses connections of all nodes")
def step_refuse_all(context: Context) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        for name in world.nodes:
            world.fabric.refused.add((name, "store"))
            world.fabric.reset_connections(name, "store")

    defer_step(context, run_step)


@when("{seconds:g} s later it serves one node that is no reader")
def step_serve_one(context: Context, seconds: float) -> None:
    async def run_step() -> None:
        await trio.sleep(seconds)
        world: PlatformWorld = context.world
        name = next(n for n in world.nodes if not _is_reader(world, n))
        world.fabric.refused.remove((name, "store"))

    defer_step(context, run_step)


@when("the store sends no responses to all its readers")
def step_ignore_readers(context: Context) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        for name in _list_readers(world):
            world.fabric.block_both_ways(name, "store")

    defer_step(context, run_step)


@when("it serves all nodes again after {seconds:g} s")
def step_serve_all(context: Context, seconds: float) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        await trio.sleep(seconds)
        assert not set(context.readers) & set(_list_readers(world))
        world.fabric.refused.clear()

    defer_step(context, run_step)


@when("the rejected readers are started again")
def step_restart_readers(context: Context) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        for name in context.readers:
            await _restart(world, name)

    defer_step(context, run_step)


@then("the same nodes are readers {seconds:g} s later")
def step_same_readers(context: Context, seconds: float) -> None:
    async def run_step() -> None:
        await trio.sleep(seconds)
        assert _list_readers(context.world) == context.readers

    defer_step(context, run_step)


@when('zone "{zone}" is cut off from the others')
def step_cut_zone(context: Context, zone: str) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        zones = {
            name: node.settings.availability_zone
            for name, node in world.nodes.items()
        }
        for first, second in combinations(zones, 2):
            if zone in (zones[first], zones[second]) and (
                zones[first] != zones[second]
            ):
                world.fabric.block_both_ways(first, second)

    defer_step(context, run_step)


@when("operators change the route's prefix")
@when("{seconds:d} s later operators change the route's prefix")
def step_change(context: Context, seconds: int = 0) -> None:
    async def run_step() -> None:
        await trio.sleep(seconds)
        context.waiting_reads = context.world.store.pending_reads
        context.changed_at = trio.current_time()
        context.world.put_configuration(
            make_configuration(2, pathPrefix="/new/")
        )

    defer_step(context, run_step)


@then("{count:d} nodes wait for the store")
def step_waiting(context: Context, count: int) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        readers = _list_readers(world)
        assert len(readers) == count, readers
        # The store keeps the open reads of nodes that have lost power.
        lost_nodes = context.started_nodes - len(world.nodes)
        assert context.waiting_reads <= count + lost_nodes, (
            context.waiting_reads
        )

    defer_step(context, run_step)


@then("all {count:d} nodes serve the new prefix within {seconds:g} s")
def step_serve_prefix(context: Context, count: int, seconds: float) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        assert len(world.nodes) == count
        await _wait_for_prefix(context, seconds)
        for name in world.nodes:
            response = await world.send_request(name, f"at-{name}", "/new/x")
            assert response.status == 200, response.status

    defer_step(context, run_step)


@then("the remaining nodes have the new prefix within {seconds:g} s")
def step_have_prefix(context: Context, seconds: float) -> None:
    async def run_step() -> None:
        # Requests may still go to instances that have lost power.
        await _wait_for_prefix(context, seconds)

    defer_step(context, run_step)


async def _wait_for_prefix(context: Context, seconds: float) -> None:
    nodes = context.world.nodes.values()
    while any(_get_version(node) != 2 for node in nodes):
        await trio.sleep(_CHECK_SECONDS)
        elapsed = trio.current_time() - context.changed_at
        assert elapsed < seconds, elapsed


@when("the store refuses all calls and a node starts")
def step_refuses_calls(context: Context) -> None:
    async def run_step() -> None:
        world: PlatformWorld = context.world
        for name in world.nodes:
            world.fabric.block_both_ways(name, "store")
        await trio.sleep(2)
        world.store.status = 503
        context.calls_before = world.store.calls
        await world.start_host("late")

    defer_step(context, run_step)


@then(
    "the node has called the store at most {count:d} times after {seconds:d} s"
)
def step_calls(context: Context, count: int, seconds: int) -> None:
    async def run_step() -> None:
        await trio.sleep(seconds)
        calls = context.world.store.calls - context.calls_before
        assert 0 < calls <= count, calls

    defer_step(context, run_step)


async def _restart(world: PlatformWorld, name: str) -> None:
    zone = world.nodes[name].settings.availability_zone
    await world.stop_node(name)
    await trio.sleep(1)
    await world.start_node(name, zone, is_first_start=False)


def _get_version(node: PlatformNode) -> int:
    """Returns the version of the configuration in force."""
    cfg = node.configuration.get_configuration()
    assert cfg is not None
    return cfg.version


def _lose_power(world: PlatformWorld, names: list[str]) -> None:
    """Makes nodes vanish: nothing that is sent to them is answered."""
    for name in names:
        for other in (*world.nodes, "store"):
            if other != name:
                world.fabric.block_both_ways(name, other)
    for name in names:
        del world.nodes[name]


def _list_substitutes(world: PlatformWorld) -> list[str]:
    return [
        name
        for name, node in world.nodes.items()
        if node.reader_contact.is_substitute()
    ]


def _list_readers(world: PlatformWorld) -> list[str]:
    return sorted(name for name in world.nodes if _is_reader(world, name))


def _is_reader(world: PlatformWorld, name: str) -> bool:
    return world.nodes[name].configuration.is_reader()
