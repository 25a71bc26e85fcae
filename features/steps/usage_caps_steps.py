from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from itertools import cycle
from typing import Any

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformResponse,
    PlatformWorld,
    make_configuration,
    run_platform_world,
)
from features.support.usage_machine import UsageMachine
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Request
from rhubarbpaddle.routing.rendezvous import get_weight
from rhubarbpaddle.usage.quota_terms import QuotaTerms
from rhubarbpaddle.usage.usage_cap import UsageCap
from rhubarbpaddle.usage.usage_token import UsageToken
from standins.platform_documents import make_organisation_entry

Fault = Callable[[PlatformWorld], Awaitable[None]]

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
    context.owner_ends = False


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


@then("all of them succeed")
def step_check_all_succeed(context: Context) -> None:
    statuses = Counter(response.status for response in context.responses)
    assert set(statuses) == {200}, statuses


@then("all of them get 503")
def step_check_all_unavailable(context: Context) -> None:
    statuses = Counter(response.status for response in context.responses)
    assert set(statuses) == {503}, statuses


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
        assert caps is None or not caps.gate.get_results()


def find_owner(world: PlatformWorld) -> str:
    """Returns the node that owns the cap of the organisation."""
    return max(world.nodes, key=lambda name: get_weight("club", name))


def run_with_fault(
    context: Context, rate: float, seconds: float, fault: Fault
) -> None:
    """Sends requests through all nodes but one that ends during a fault."""

    async def scenario(world: PlatformWorld) -> None:
        context.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fault, world)
            names = [
                name
                for name in context.names
                if name != find_owner(world) or not context.owner_ends
            ]
            context.responses = await send_at_rate(world, names, rate, seconds)

    run(context, scenario)


def get_run_times(context: Context, names: Iterable[str]) -> list[float]:
    """Returns when requests ran at some hosts, relative to the first."""
    instances = context.world.instances
    return sorted(
        time - context.started_at
        for name in names
        for time in instances[name].runs_at
    )


@when("{rate:g} requests a second are sent through the owner for {seconds:g} s")
def step_send_to_owner(context: Context, rate: float, seconds: float) -> None:
    async def scenario(world: PlatformWorld) -> None:
        names = [find_owner(world)]
        proxy = world.nodes[names[0]].instance_proxy
        handle = proxy.handle

        def record(request: Request, *arguments: Any) -> Any:
            context.usage_ratio = request.usage_ratio
            return handle(request, *arguments)

        proxy.handle = record  # type: ignore[method-assign]
        context.responses = await send_at_rate(world, names, rate, seconds)

    run(context, scenario)


@when(
    "{rate:g} requests a second are sent for {seconds:g} s while all instances"
    " refuse"
)
def step_send_refused(context: Context, rate: float, seconds: float) -> None:
    async def fault(world: PlatformWorld) -> None:
        for instance in world.instances.values():
            instance.refuses_all = True

    run_with_fault(context, rate, seconds, fault)


@when(
    "{rate:g} requests a second are sent for {seconds:g} s and the owner ends"
    " after {delay:g} s"
)
def step_send_and_kill(
    context: Context, rate: float, seconds: float, delay: float
) -> None:
    context.owner_ends = True

    async def fault(world: PlatformWorld) -> None:
        await trio.sleep(delay)
        await world.stop_node(find_owner(world))

    run_with_fault(context, rate, seconds, fault)


@when(
    '{rate:g} requests a second are sent for {seconds:g} s and "{names}" are'
    " cut off after {delay:g} s for {duration:g} s"
)
def step_send_and_cut(
    context: Context,
    rate: float,
    seconds: float,
    names: str,
    delay: float,
    duration: float,
) -> None:
    context.cut_off = names.split(", ")

    async def fault(world: PlatformWorld) -> None:
        await trio.sleep(delay)
        for name in context.cut_off:
            for other in {*context.names, "store"} - set(context.cut_off):
                world.fabric.block_both_ways(name, other)
        await trio.sleep(duration)
        world.fabric.blocked.clear()

    run_with_fault(context, rate, seconds, fault)


@when(
    "{rate:g} requests a second are sent for {seconds:g} s and the cap is"
    " {lowered:g} a second after {delay:g} s"
)
def step_send_and_lower(
    context: Context, rate: float, seconds: float, lowered: float, delay: float
) -> None:
    async def fault(world: PlatformWorld) -> None:
        await trio.sleep(delay)
        world.put_configuration(make_capped(lowered, 0.0, version=2))

    run_with_fault(context, rate, seconds, fault)


@when("the state machine of usage caps runs")
def step_run_machine(context: Context) -> None:
    UsageMachine.steps = 0
    run_state_machine_as_test(
        UsageMachine, settings=settings(max_examples=60, stateful_step_count=20)
    )


@then("the owner has sent no query")
def step_check_no_query(context: Context) -> None:
    caps = context.world.nodes[find_owner(context.world)].usage_caps
    assert caps is not None
    results = caps.gate.get_results()
    assert results["granted"] == len(context.responses), results
    assert results["sent"] == 0, results


@then("its last request had a usage ratio of about {ratio:g}")
def step_check_usage_ratio(context: Context, ratio: float) -> None:
    assert abs(context.usage_ratio - ratio) < 0.1, context.usage_ratio


@then("no window of {window:g} s has more than {most:d} requests that ran")
def step_check_windows(context: Context, window: float, most: int) -> None:
    times = get_run_times(context, context.names)
    counts = [
        sum(start <= time < start + window for time in times) for start in times
    ]
    assert max(counts) <= most, max(counts)


@then("the part that was cut off ran requests {delay:g} s after it was")
def step_check_cut_off(context: Context, delay: float) -> None:
    times = get_run_times(context, context.cut_off)
    start = 2 + delay
    assert sum(start <= time < start + 2 for time in times) >= 5


@then("at most {most:d} requests ran in the last {seconds:g} s")
def step_check_last(context: Context, most: int, seconds: float) -> None:
    times = get_run_times(context, context.names)
    count = sum(time >= 12 - seconds for time in times)
    assert 5 <= count <= most, count


@then("it has run at least {count:d} steps")
def step_check_steps(context: Context, count: int) -> None:
    assert UsageMachine.steps >= count, UsageMachine.steps


@when("each node is restarted in turn and asks for a token with its first link")
def step_restart_nodes(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        context.tokens = {}
        cap = UsageCap.from_config(
            Organisation("club", rate=10, burst=15),
            QuotaTerms(timedelta(seconds=5), overage=0.1, slack=20),
        )
        for name in context.names:
            await world.stop_node(name)
            await world.start_node(name, is_first_start=False)
            node = world.nodes[name]
            assert node.usage_caps is not None
            has_link = trio.Event()
            node.table.add_listener(
                lambda _, source, event=has_link: source and event.set()
            )
            await has_link.wait()
            try:
                until = trio.current_time() + 0.1
                context.tokens[name] = await node.usage_caps.gate.acquire(
                    "club", cap, until, latest=until
                )
            except RefusedError as exc:
                context.tokens[name] = exc
            await trio.sleep(SETTLE_SECONDS)

    run(context, scenario)


@then("each of them gets a token")
def step_check_tokens(context: Context) -> None:
    assert len(context.tokens) == len(context.names)
    assert all(
        isinstance(token, UsageToken) for token in context.tokens.values()
    ), context.tokens


@when(
    "{rate:g} requests a second are sent for {seconds:g} s and the owner is"
    " restarted as planned"
)
def step_send_and_restart(
    context: Context, rate: float, seconds: float
) -> None:
    context.owner_ends = True

    async def fault(world: PlatformWorld) -> None:
        await trio.sleep(1)
        name = find_owner(world)
        assert await world.nodes[name].shut_down()
        await world.stop_node(name)
        await trio.sleep(0.3)
        await world.start_node(name, is_first_start=False)

    run_with_fault(context, rate, seconds, fault)
