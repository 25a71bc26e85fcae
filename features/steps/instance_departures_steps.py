import json
from typing import Any

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import defer_step
from features.support.platform_world import (
    PlatformWorld,
    make_configuration,
    make_report,
)

_HOSTS = ("h1", "h2")
_INSTANCE = "i-h1"
# From the acknowledgement of a departure to the end of the node's process, and
# until it is started again.
_KILL_DELAY_SECONDS = 0.3
_DOWN_SECONDS = 0.5
# The later start of a forged report; the instance has started at 1000.
_LATER_MS = 2_000
_SERVICES = {"unnamed": "unnamed", "another named": "courts"}


@given("a host whose instance serves requests")
def step_start(context: Context) -> None:
    async def run() -> None:
        world = context.world = PlatformWorld(context.nursery)
        configuration = make_configuration()
        services = [
            entry
            for entry in configuration["resources"]
            if entry["entryKind"] == "services"
        ]
        configuration["resources"] += [
            {**entry, "metadata": {"name": "courts"}} for entry in services
        ]
        await world.start_store(configuration)
        await world.start_serving("h1")
        assert (await world.send_request("h1", "first")).status == 200

    defer_step(context, run)


@when(
    "a report of {writer} instance {of_or_with} {name} service with a later"
    " start arrives"
)
def step_report_foreign(
    context: Context, writer: str, of_or_with: str, name: str
) -> None:
    async def run() -> None:
        instance = _INSTANCE if writer == "the same" else "i-other"
        service = _SERVICES[name.removeprefix("an ")]
        report = make_report(instance, service=service, born=_LATER_MS)
        context.first_status = await _call(
            context.world, instance, "heartbeat", report
        )

    defer_step(context, run)


@when("the instance reports that it is draining")
def step_drain(context: Context) -> None:
    async def run() -> None:
        report = make_report(_INSTANCE, seq=6, state="draining")
        context.second_status = await _call(
            context.world, _INSTANCE, "heartbeat", report
        )

    defer_step(context, run)


@then("the first report got {first:d} and the second {second:d}")
def step_check_statuses(context: Context, first: int, second: int) -> None:
    async def run() -> None:
        statuses = (context.first_status, context.second_status)
        assert statuses == (first, second), statuses

    defer_step(context, run)


@then("no further request reaches the instance")
def step_check_no_runs(context: Context) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        runs = world.instances["h1"].runs
        runs_before = len(runs)
        statuses = [
            (await world.send_request("h1", f"late-{index}")).status
            for index in range(5)
        ]
        assert len(runs) == runs_before, runs
        assert set(statuses) == {503}, statuses

    defer_step(context, run)


async def _call(
    world: PlatformWorld, instance: str, endpoint: str, document: dict[str, Any]
) -> int:
    target = f"/instances/{instance}/{endpoint}"
    body = json.dumps(document).encode()
    response = await world.send("h1:4", "POST", target, {}, body)
    return response.status


@given("two hosts that serve requests")
def step_start_two(context: Context) -> None:
    async def run() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())
        await world.start_serving(*_HOSTS)

    defer_step(context, run)


@when("the first instance departs by {call}")
def step_depart(context: Context, call: str) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        world.instances["h1"].healthy = False
        if call == "draining":
            status = await world.report("h1", seq=7, state="draining")
        else:
            status = await _call(world, _INSTANCE, "deregister", {"born": 1000})
        assert status == 200
        await trio.sleep(_KILL_DELAY_SECONDS)

    defer_step(context, run)


@when(
    "{nodes} restarted {times} and a report from before arrives {delay:g} s"
    " later"
)
def step_restart(
    context: Context, nodes: str, times: str, delay: float
) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        names = _HOSTS if nodes == "both nodes are" else _HOSTS[:1]
        for _ in range(2 if times == "twice" else 1):
            for name in names:
                await world.stop_node(name)
            await trio.sleep(_DOWN_SECONDS)
            for name in names:
                await world.start_node(name, is_first_start=False)
            await trio.sleep(delay)
        assert await world.report("h1", seq=6) == 200

    defer_step(context, run)


@then("no request of the next {seconds:d} s reaches the departed instance")
def step_check_departed(context: Context, seconds: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        runs_before = len(world.instances["h1"].runs)
        for index in range(seconds * 5):
            for name in _HOSTS:
                await world.send_request(name, f"{name}-{index}")
            await trio.sleep(0.2)
        assert len(world.instances["h1"].runs) == runs_before
        assert world.instances["h2"].runs

    defer_step(context, run)


@given("a host whose instance runs but has not reported")
def step_start_unreported(context: Context) -> None:
    async def run() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())
        await world.start_host("h1")
        await trio.sleep(1)

    defer_step(context, run)


@when(
    "the start {departed:d} of the instance departs and a report of the start"
    " {reported:d} follows"
)
def step_depart_start(context: Context, departed: int, reported: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        departure = {"born": departed}
        assert await _call(world, _INSTANCE, "deregister", departure) == 200
        assert await world.report("h1", born=reported, seq=6) == 200
        await trio.sleep(1)

    defer_step(context, run)


@then("a further request reaches the instance")
def step_check_run(context: Context) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        response = await world.send_request("h1", "further")
        assert response.status == 200, response.status
        assert "further" in world.instances["h1"].runs

    defer_step(context, run)


@when("the first instance departs while its health check succeeds")
def step_depart_healthy(context: Context) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        status = await _call(world, _INSTANCE, "deregister", {"born": 1000})
        assert status == 200
        await trio.sleep(_KILL_DELAY_SECONDS)

    defer_step(context, run)


@when("the store falls silent and the first instance departs")
def step_depart_without_store(context: Context) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        world.store.is_silent = True
        started_at = trio.current_time()
        status = await _call(world, _INSTANCE, "deregister", {"born": 1000})
        assert status == 200
        context.elapsed = trio.current_time() - started_at

    defer_step(context, run)


@then("the departure was acknowledged within {seconds:g} s")
def step_check_acknowledged(context: Context, seconds: float) -> None:
    async def run() -> None:
        assert context.elapsed < seconds, context.elapsed

    defer_step(context, run)


@when("a departure with a start in the far future arrives")
def step_depart_odd(context: Context) -> None:
    async def run() -> None:
        context.status = await _call(
            context.world, _INSTANCE, "deregister", {"born": 2**62}
        )

    defer_step(context, run)


@then("it got {status:d}")
def step_check_status(context: Context, status: int) -> None:
    async def run() -> None:
        assert context.status == status, context.status

    defer_step(context, run)


@when("{count:d} departures of other instances arrive")
def step_depart_others(context: Context, count: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        context.calls_before = world.store.calls
        for index in range(count):
            instance = f"i-other-{index}"
            document = {"born": _LATER_MS}
            status = await _call(world, instance, "deregister", document)
            assert status == 200

    defer_step(context, run)


@then("the store got no call")
def step_check_no_call(context: Context) -> None:
    async def run() -> None:
        assert context.world.store.calls == context.calls_before

    defer_step(context, run)


@when("the first instance reports once more that it is draining")
def step_drain_again(context: Context) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        started_at = trio.current_time()
        status = await world.report("h1", seq=8, state="draining")
        assert status == 200
        context.elapsed = trio.current_time() - started_at

    defer_step(context, run)
