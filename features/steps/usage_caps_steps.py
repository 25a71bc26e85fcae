from itertools import cycle
from typing import Any

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformResponse,
    PlatformWorld,
    make_configuration,
    run_platform_world,
)
from standins.platform_documents import make_organisation_entry

BOUNDS = {"quotaWindowS": 5.0, "quotaOverage": 0.1, "quotaSlack": 20.0}


def make_capped(rate: float, burst: float, version: int = 1) -> dict[str, Any]:
    document = make_configuration(version)
    document["resources"].append(
        make_organisation_entry("club", ["key"], ratePerS=rate, burst=burst)
    )
    return document


async def send(world: PlatformWorld, name: str) -> PlatformResponse:
    headers = {
        "host": "club.example",
        "authorization": "Token key",
        "deadline-ms": "1000",
        "request-id": f"{name}-{trio.current_time():.6f}",
    }
    return await world.send(f"{name}:2", "GET", "/lanes/x", headers)


async def send_at_rate(
    world: PlatformWorld, names: list[str], rate: float, seconds: float
) -> list[PlatformResponse]:
    """Sends requests at even intervals, to one node after the other."""
    responses: list[PlatformResponse] = []

    async def send_one(name: str) -> None:
        responses.append(await send(world, name))

    async with trio.open_nursery() as nursery:
        for _, name in zip(
            range(round(rate * seconds)), cycle(names), strict=False
        ):
            nursery.start_soon(send_one, name)
            await trio.sleep(1 / rate)
    return responses


def run(context: Context, scenario: Any) -> None:
    async def run_scenario(world: PlatformWorld) -> None:
        world.bounds = context.bounds
        await world.start_store(context.configuration)
        for name in context.names:
            instance = await world.start_host(name)
            instance.slots = 100
        await trio.sleep(SETTLE_SECONDS)
        for name in context.names:
            assert await world.report(name, slots=100) == 200
        await trio.sleep(4)
        context.world = world
        await scenario(world)

    run_platform_world(run_scenario)


def count(context: Context, status: int) -> int:
    return sum(response.status == status for response in context.responses)


@given(
    'nodes "{names}" and a cap of {rate:g} requests a second with a burst of'
    " {burst:g}"
)
def step_create(
    context: Context, names: str, rate: float, burst: float
) -> None:
    context.names = names.split(", ")
    context.configuration = make_capped(rate, burst)
    context.bounds = BOUNDS


@given("the nodes have {bounds} for caps")
def step_set_bounds(context: Context, bounds: str) -> None:
    context.bounds = BOUNDS if bounds == "bounds" else {}


@when("{rate:g} requests a second are sent through all nodes for {seconds:g} s")
def step_send(context: Context, rate: float, seconds: float) -> None:
    async def scenario(world: PlatformWorld) -> None:
        context.responses = await send_at_rate(
            world, context.names, rate, seconds
        )

    run(context, scenario)


@when('requests are sent through "{name}" until one gets 429')
def step_send_until_refused(context: Context, name: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        while (response := await send(world, name)).status == 200:
            pass
        assert response.status == 429, response.status
        wait = float(response.headers["retry-after"])
        await trio.sleep(wait - 0.1)
        context.early = await send(world, "h2")
        await trio.sleep(0.1)
        context.late = await send(world, "h2")

    run(context, scenario)


@then("between {least:d} and {most:d} of them run and the others get 429")
def step_check_admitted(context: Context, least: int, most: int) -> None:
    runs = sum(
        len(instance.runs) for instance in context.world.instances.values()
    )
    assert least <= runs <= most, runs
    assert runs == count(context, 200)
    assert runs + count(context, 429) == len(context.responses)


@then("none of them gets 429")
def step_check_none_refused(context: Context) -> None:
    assert count(context, 200) == len(context.responses), count(context, 429)


@then('the next request through "{name}" after the time that it names succeeds')
def step_check_late(context: Context, name: str) -> None:
    assert context.late.status == 200, context.late.status


@then("a request 0.1 s before that time gets 429")
def step_check_early(context: Context) -> None:
    assert context.early.status == 429, context.early.status


@then("no node has a connection for usage caps")
def step_check_no_queries(context: Context) -> None:
    for node in context.world.nodes.values():
        caps = node.usage_caps
        assert caps is None or not caps.gate.results, caps.gate.results
