import json

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import defer_step
from features.support.host_network import HostNetwork
from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformWorld,
    make_configuration,
)

# Instances of the test's configuration are cold for 3 s after their start.
_COLD_MS = {"is cold": 3000, "has been cold for 1.2 s": 1800}


@given("a host whose running instance {state}")
def step_start_host(context: Context, state: str) -> None:
    async def run() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())
        instance = await world.start_host("h1")
        instance.healthy = state != "is leaving"
        instance.cold_ms = _COLD_MS.get(state, 0)

    defer_step(context, run)


@when("the node has run for {seconds:g} s")
def step_run_node(context: Context, seconds: float) -> None:
    async def run() -> None:
        await trio.sleep(seconds)

    defer_step(context, run)


@when(
    "{before:d} requests arrive before the first report and {after:d} after it"
)
def step_send_around_report(context: Context, before: int, after: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        await trio.sleep(0.5)
        await _send_concurrently(world, "b", before)
        await world.report("h1", coldRemainingMs=2000)
        await _send_concurrently(world, "a", after)

    defer_step(context, run)


@when("{count:d} requests arrive within {seconds:g} s of the node's start")
def step_send_at_start(context: Context, count: int, seconds: float) -> None:
    async def run() -> None:
        with trio.move_on_after(seconds):
            # The node attaches the instance within this time.
            await trio.sleep(seconds / 3)
            await _send_concurrently(context.world, "s", count)

    defer_step(context, run)


async def _send_concurrently(
    world: PlatformWorld, label: str, count: int
) -> None:
    # With this deadline all end within the second that the limit applies to.
    async with trio.open_nursery() as nursery:
        for index in range(count):
            nursery.start_soon(
                world.send_request,
                "h1",
                f"{label}{index}",
                "/lanes/x",
                "GET",
                300,
            )


@when("it departs and a late report that it is ready follows")
def step_depart(context: Context) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        await trio.sleep(0.5)
        instance = world.instances["h1"].instance
        body = json.dumps({"born": 1_000}).encode()
        target = f"/instances/{instance}/deregister"
        response = await world.send("h1:4", "POST", target, {}, body)
        assert response.status == 200
        assert await world.report("h1") == 200

    defer_step(context, run)


@then("a request succeeds")
def step_request_succeeds(context: Context) -> None:
    _assert_status(context, 200)


@then("a request is refused as not run")
def step_request_refused(context: Context) -> None:
    _assert_status(context, 503)


def _assert_status(context: Context, status: int) -> None:
    async def run() -> None:
        response = await context.world.send_request("h1", "last")
        assert response.status == status, response.status

    defer_step(context, run)


@then("it has run at most {count:d}")
def step_run_count(context: Context, count: int) -> None:
    async def run() -> None:
        runs = context.world.instances["h1"].runs
        assert 0 < len(runs) <= count, runs

    defer_step(context, run)


@given("two hosts of which the first one's instance has departed")
def step_start_departed(context: Context) -> None:
    async def run() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())
        for name in ("h1", "h2"):
            await world.start_host(name)
        await trio.sleep(SETTLE_SECONDS)
        for name in ("h1", "h2"):
            assert await world.report(name) == 200
        body = json.dumps({"born": 1_000}).encode()
        target = "/instances/i-h1/deregister"
        response = await world.send("h1:4", "POST", target, {}, body)
        assert response.status == 200
        await trio.sleep(1)

    defer_step(context, run)


@when("the node of the first host is killed and started again")
def step_restart_node(context: Context) -> None:
    async def run() -> None:
        await context.world.stop_node("h1")
        await trio.sleep(0.5)
        await context.world.start_node("h1", is_first_start=False)

    defer_step(context, run)


@then("no request of either node reaches the departed instance")
def step_check_departed(context: Context) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        runs_before = len(world.instances["h1"].runs)
        for index in range(20):
            for name in ("h1", "h2"):
                await world.send_request(name, f"{name}-{index}")
            await trio.sleep(0.05)
        assert len(world.instances["h1"].runs) == runs_before
        assert world.instances["h2"].runs

    defer_step(context, run)


@when(
    "it reports, crashes and returns cold, and {before:d} requests arrive"
    " before and {after:d} after its next report"
)
def step_return_cold(context: Context, before: int, after: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        await trio.sleep(1)
        assert await world.report("h1") == 200
        await trio.sleep(2)
        world.fabric.stop_listening("h1:9")
        world.nodes["h1"].registry.handle_connection_loss()
        await trio.sleep(1)
        instance = world.instances["h1"]
        instance.cold_ms = 3000
        network = HostNetwork(world.fabric, "h1")
        await context.nursery.start(network.serve, "h1:9", instance.handle)
        context.runs_before = len(instance.runs)
        # Until the node has found that it serves again.
        await trio.sleep(0.3)
        await _send_concurrently(world, "b", before)
        await world.report("h1", born=2_000, coldRemainingMs=2500)
        await _send_concurrently(world, "a", after)

    defer_step(context, run)


@then("it has run at most {count:d} since its return")
def step_check_runs_since(context: Context, count: int) -> None:
    async def run() -> None:
        runs = context.world.instances["h1"].runs[context.runs_before :]
        assert 0 < len(runs) <= count, runs

    defer_step(context, run)
