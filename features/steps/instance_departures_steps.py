import json
from typing import Any

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import defer_step
from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformWorld,
    make_configuration,
    make_report,
)

_INSTANCE = "i-h1"
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
        await world.start_host("h1")
        await trio.sleep(SETTLE_SECONDS)
        assert await world.report("h1", seq=5) == 200
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
