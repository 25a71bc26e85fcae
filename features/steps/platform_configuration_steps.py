import trio
from behave import then, when
from behave.runner import Context

from features.support.platform_scenario import run_on_platform
from features.support.platform_world import (
    PlatformWorld,
    make_configuration,
)


@when('operators withdraw zone "{zone}", and later restore it')
def step_withdraw_zone(context: Context, zone: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        async def send_all(prefix: str) -> list[str]:
            before = len(world.instances["h1"].runs)
            for index in range(5):
                response = await world.send_request("h1", f"{prefix}{index}")
                assert response.status == 200, response.status
            return world.instances["h1"].runs[before:]

        world.store.put("keyed.op", f"evacuate/{zone}", b"{}")
        await trio.sleep(1)
        context.during = await send_all("d")
        world.store.put("keyed.op", f"evacuate/{zone}", b"")
        await trio.sleep(1)
        context.after = await send_all("a")

    run_on_platform(context, scenario)


@then('requests run at "{other}" only, and then at "{name}" again')
def step_check_withdrawal(context: Context, other: str, name: str) -> None:
    assert context.during == []
    assert context.after


@when(
    "\"{name}\" can't reach the store and operators change the route's prefix"
)
def step_block_store(context: Context, name: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        world.fabric.block_both_ways(name, "store")
        world.put_configuration(make_configuration(2, pathPrefix="/new/"))
        await trio.sleep(2)
        context.response = await world.send_request(name, "one", "/new/x")

    run_on_platform(context, scenario)


@when("the configuration changes and the store deletes its history")
def step_discard_history(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        world.put_configuration(make_configuration(2, pathPrefix="/new/"))
        world.store.discard_history("keyed.op")
        await trio.sleep(2)
        context.response = await world.send_request("h1", "one", "/new/x")

    run_on_platform(context, scenario)


@then('"{name}" serves the new prefix within 2 s')
def step_check_new_prefix(context: Context, name: str) -> None:
    assert context.response.status == 200, context.response.status


@when(
    'the instance of "{name}" reports and the configuration arrives '
    "{after:g} s later"
)
def step_report_early(context: Context, name: str, after: float) -> None:
    async def scenario(world: PlatformWorld) -> None:
        assert await world.report(name) == 200
        await trio.sleep(after)
        world.put_configuration(make_configuration())
        await trio.sleep(1)
        context.responses = []
        started = trio.current_time()

        async def send(index: int) -> None:
            response = await world.send_request(name, f"r{index}")
            elapsed = trio.current_time() - started
            context.responses.append((response.status, elapsed))

        async with trio.open_nursery() as nursery:
            for index in range(4):
                nursery.start_soon(send, index)

    run_on_platform(context, scenario, report=False)


@then("{count:d} concurrent requests get responses within {seconds:g} s")
def step_check_response_times(
    context: Context, count: int, seconds: float
) -> None:
    assert len(context.responses) == count
    for status, elapsed in context.responses:
        assert status == 200 and elapsed < seconds, context.responses
    assert context.world.instances["h1"].checks > 0
