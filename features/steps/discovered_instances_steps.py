import json

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.platform_world import PlatformWorld, make_configuration
from features.support.story import tell


@given("a host whose running instance {state}")
def step_host(context: Context, state: str) -> None:
    async def work() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())
        instance = await world.start_host("h1")
        instance.healthy = state != "is leaving"
        instance.cold_ms = 3000 if state == "is cold" else 0

    tell(context, work)


@when("the node has run for {seconds:g} s")
def step_run(context: Context, seconds: float) -> None:
    async def work() -> None:
        await trio.sleep(seconds)

    tell(context, work)


@when("{before:d} requests come before the first report and {after:d} after it")
def step_around(context: Context, before: int, after: int) -> None:
    async def work() -> None:
        world: PlatformWorld = context.world
        await trio.sleep(0.5)
        await _ask_together(world, "b", before)
        await world.report("h1", coldRemainingMs=2000)
        await _ask_together(world, "a", after)

    tell(context, work)


async def _ask_together(world: PlatformWorld, label: str, count: int) -> None:
    # With this deadline all end within the second that the count is for.
    async with trio.open_nursery() as nursery:
        for index in range(count):
            nursery.start_soon(
                world.ask, "h1", f"{label}{index}", "/lanes/x", "GET", 300
            )


@when("it departs and a late report that it is ready follows")
def step_departs(context: Context) -> None:
    async def work() -> None:
        world: PlatformWorld = context.world
        await trio.sleep(0.5)
        instance = world.instances["h1"].instance
        body = json.dumps({"born": 1_000}).encode()
        target = f"/instances/{instance}/deregister"
        answer = await world.send("h1:4", "POST", target, {}, body)
        assert answer.status == 200
        assert await world.report("h1") == 200

    tell(context, work)


@then("a request is answered")
def step_answered(context: Context) -> None:
    _expect(context, 200)


@then("a request is refused as not run")
def step_refused(context: Context) -> None:
    _expect(context, 503)


def _expect(context: Context, status: int) -> None:
    async def work() -> None:
        answer = await context.world.ask("h1", "last")
        assert answer.status == status, answer.status

    tell(context, work)


@then("it has run at most {count:d}")
def step_count(context: Context, count: int) -> None:
    async def work() -> None:
        runs = context.world.instances["h1"].runs
        assert 0 < len(runs) <= count, runs

    tell(context, work)
