import trio
from behave import then, when
from behave.runner import Context

from features.support.platform_scenario import run_on_platform
from features.support.platform_world import (
    PlatformWorld,
    make_configuration,
)


@when('operators withdraw zone "{zone}", and later take it back')
def step_withdraw(context: Context, zone: str) -> None:
    async def script(world: PlatformWorld) -> None:
        async def ask_all(prefix: str) -> list[str]:
            before = len(world.instances["h1"].runs)
            for index in range(5):
                answer = await world.ask("h1", f"{prefix}{index}")
                assert answer.status == 200, answer.status
            return world.instances["h1"].runs[before:]

        world.store.put("keyed.op", f"evacuate/{zone}", b"{}")
        await trio.sleep(1)
        context.during = await ask_all("d")
        world.store.put("keyed.op", f"evacuate/{zone}", b"")
        await trio.sleep(1)
        context.after = await ask_all("a")

    run_on_platform(context, script)


@then('requests run at "{other}" only, and at "{name}" again in the end')
def step_withdrawn(context: Context, other: str, name: str) -> None:
    assert context.during == []
    assert context.after


@when('the store turns "{name}" away and operators change the route\'s prefix')
def step_turned_away(context: Context, name: str) -> None:
    async def script(world: PlatformWorld) -> None:
        world.fabric.block_both_ways(name, "store")
        world.put_configuration(make_configuration(2, pathPrefix="/new/"))
        await trio.sleep(2)
        context.answer = await world.ask(name, "one", "/new/x")

    run_on_platform(context, script)


@when("the configuration changes and the store forgets its history")
def step_forget(context: Context) -> None:
    async def script(world: PlatformWorld) -> None:
        world.put_configuration(make_configuration(2, pathPrefix="/new/"))
        world.store.forget("keyed.op")
        await trio.sleep(2)
        context.answer = await world.ask("h1", "one", "/new/x")

    run_on_platform(context, script)


@then('"{name}" serves the new prefix within 2 s')
def step_new_prefix(context: Context, name: str) -> None:
    assert context.answer.status == 200, context.answer.status


@when(
    'the instance of "{name}" reports and the configuration comes {after:g} s '
    "later"
)
def step_early_report(context: Context, name: str, after: float) -> None:
    async def script(world: PlatformWorld) -> None:
        assert await world.report(name) == 200
        await trio.sleep(after)
        world.put_configuration(make_configuration())
        await trio.sleep(1)
        context.answers = []
        started = trio.current_time()

        async def ask(index: int) -> None:
            answer = await world.ask(name, f"r{index}")
            elapsed = trio.current_time() - started
            context.answers.append((answer.status, elapsed))

        async with trio.open_nursery() as nursery:
            for index in range(4):
                nursery.start_soon(ask, index)

    run_on_platform(context, script, report=False)


@then("{count:d} requests at once are answered within {seconds:g} s")
def step_all_soon(context: Context, count: int, seconds: float) -> None:
    assert len(context.answers) == count
    for status, elapsed in context.answers:
        assert status == 200 and elapsed < seconds, context.answers
    assert context.world.instances["h1"].checks > 0
