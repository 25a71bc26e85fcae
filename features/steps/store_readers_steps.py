import trio
from behave import given, then, when
from behave.runner import Context

from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformWorld,
    make_configuration,
)
from features.support.story import tell

_CHECK_SECONDS = 0.05


@given("{count:d} nodes in one zone that read the platform's store")
def step_nodes(context: Context, count: int) -> None:
    async def work() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())
        context.started = count
        for index in range(count):
            await world.start_host(f"h{index}")
        await trio.sleep(SETTLE_SECONDS)
        for name in world.nodes:
            assert await world.report(name) == 200
        # Reads that began before the nodes knew each other have ended.
        await trio.sleep(SETTLE_SECONDS)

    tell(context, work)


@when("both readers lose power")
def step_lose_readers(context: Context) -> None:
    async def work() -> None:
        world: PlatformWorld = context.world
        readers = [name for name in world.nodes if _is_reader(world, name)]
        assert len(readers) == 2, readers
        for reader in readers:
            del world.nodes[reader]
            for other in (*world.nodes, "store"):
                world.fabric.block_both_ways(reader, other)

    tell(context, work)


@when("all open connections to the store go silent")
def step_silence(context: Context) -> None:
    async def work() -> None:
        for name in context.world.nodes:
            context.world.fabric.silence(name, "store")

    tell(context, work)


@when("operators change the route's prefix")
@when("{seconds:d} s later operators change the route's prefix")
def step_change(context: Context, seconds: int = 0) -> None:
    async def work() -> None:
        await trio.sleep(seconds)
        context.waiting = context.world.store.waiting
        context.changed = trio.current_time()
        context.world.put_configuration(
            make_configuration(2, pathPrefix="/new/")
        )

    tell(context, work)


@then("{count:d} nodes wait for the store")
def step_waiting(context: Context, count: int) -> None:
    async def work() -> None:
        world: PlatformWorld = context.world
        readers = [name for name in world.nodes if _is_reader(world, name)]
        assert len(readers) == count, readers
        # Reads of nodes without power stay open at the store.
        lost = context.started - len(world.nodes)
        assert context.waiting <= count + lost, context.waiting

    tell(context, work)


@then("all {count:d} nodes serve the new prefix within {seconds:g} s")
def step_served(context: Context, count: int, seconds: float) -> None:
    async def work() -> None:
        world: PlatformWorld = context.world
        assert len(world.nodes) == count
        while {n.configuration.get_version() for n in world.nodes.values()} != {
            2
        }:
            await trio.sleep(_CHECK_SECONDS)
            elapsed = trio.current_time() - context.changed
            assert elapsed < seconds, elapsed
        for name in world.nodes:
            answer = await world.ask(name, f"at-{name}", "/new/x")
            assert answer.status == 200, answer.status

    tell(context, work)


@when("the store refuses all calls and a node starts")
def step_refuse(context: Context) -> None:
    async def work() -> None:
        world: PlatformWorld = context.world
        for name in world.nodes:
            world.fabric.block_both_ways(name, "store")
        await trio.sleep(2)
        world.store.status = 503
        context.calls = world.store.calls
        await world.start_host("late")

    tell(context, work)


@then(
    "the node has called the store at most {count:d} times after {seconds:d} s"
)
def step_calls(context: Context, count: int, seconds: int) -> None:
    async def work() -> None:
        await trio.sleep(seconds)
        calls = context.world.store.calls - context.calls
        assert 0 < calls <= count, calls

    tell(context, work)


def _is_reader(world: PlatformWorld, name: str) -> bool:
    return world.nodes[name].configuration.is_reader()
