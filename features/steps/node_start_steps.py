import random
from pathlib import Path

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import defer_step
from features.support.platform_world import (
    PlatformResponse,
    PlatformWorld,
    make_configuration,
    make_settings,
)
from rhubarbpaddle.platform.node import PlatformNode
from rhubarbpaddle.platform.settings import PlatformSettings
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork


@given("{count:d} hosts that start at once, of which {which} an instance")
def step_start_hosts(context: Context, count: int, which: str) -> None:
    context.hosts = [f"h{index}" for index in range(count)]
    running = {
        "one has": context.hosts[-1:],
        "none has": [],
        "all have": context.hosts,
    }[which]

    async def run() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())

        async def start(name: str) -> None:
            instance = await world.start_host(name)
            instance.healthy = name in running

        async with trio.open_nursery() as nursery:
            for name in context.hosts:
                nursery.start_soon(start, name)

    defer_step(context, run)


@when("a caller sends a request to each node as soon as it listens")
def step_send_at_once(context: Context) -> None:
    context.results = {}

    async def run() -> None:
        async def send(name: str) -> None:
            started = trio.current_time()
            response = await context.world.send_request(name, f"id-{name}")
            context.results[name] = response, trio.current_time() - started

        async with trio.open_nursery() as nursery:
            for name in context.hosts:
                nursery.start_soon(send, name)

    defer_step(context, run)


@then("each request is answered by the instance within {seconds:g} s")
def step_check_answered(context: Context, seconds: float) -> None:
    _check_results(context, 200, seconds)


@then("each request is refused with {status:d} within {seconds:g} s")
def step_check_refused(context: Context, status: int, seconds: float) -> None:
    _check_results(context, status, seconds)


def _check_results(context: Context, status: int, seconds: float) -> None:
    async def run() -> None:
        results: dict[str, tuple[PlatformResponse, float]] = context.results
        statuses = {name: item[0].status for name, item in results.items()}
        assert set(statuses.values()) == {status}, statuses
        times = {name: item[1] for name, item in results.items()}
        assert max(times.values()) <= seconds, times

    defer_step(context, run)


@when("{seconds:g} s have passed")
def step_wait(context: Context, seconds: float) -> None:
    async def run() -> None:
        await trio.sleep(seconds)

    defer_step(context, run)


@then("each node knows the instances of all {count:d} hosts")
def step_check_known(context: Context, count: int) -> None:
    async def run() -> None:
        known = {
            name: sum(m.upstream is not None for m in node.table)
            for name, node in context.world.nodes.items()
        }
        assert set(known.values()) == {count}, known

    defer_step(context, run)


@when(
    "a node is created from settings with usage caps, roll-outs and failClosed"
)
def step_create_node(context: Context) -> None:
    document = make_settings("h1")
    document["terms"]["bounds"] |= {
        "quotaWindowS": 5,
        "quotaOverage": 0.1,
        "quotaSlack": 20,
        "exposureShare": 0.1,
        "exposureSlack": 50,
        "rollbackMs": 5000,
        "failClosed": True,
        "revokeMs": 5000,
    }
    settings = PlatformSettings.from_document(document)
    context.node = PlatformNode(
        Path("/nonexistent"),
        settings,
        TcpNetwork(),
        SystemClock(),
        random.Random(1),
    )


@then("it is created without an event loop")
def step_check_created(context: Context) -> None:
    assert not trio.lowlevel.in_trio_run()
    assert context.node.settings.quota_terms is not None
    assert context.node.settings.rollout_terms is not None
    assert context.node.settings.revocation_deadline is not None
