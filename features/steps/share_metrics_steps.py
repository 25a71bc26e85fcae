import re

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.platform_scenario import run_on_platform
from features.support.platform_world import (
    SERVICE,
    PlatformWorld,
    make_configuration,
)
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import BytesBody, Request

_SERIES = re.compile(r"^(rhubarbpaddle_share_\w+){(.*)} (.*)$", re.MULTILINE)
_RESULT = re.compile(r'result="(\w+)"')


@given("a node whose instance runs one request at a time")
def step_node(context: Context) -> None:
    context.zones = {"h1": "a"}
    context.configuration = make_configuration()


async def run_request(
    context: Context, world: PlatformWorld, organisation: str, ratio: float
) -> None:
    proxy = world.nodes["h1"].instance_proxy
    assert proxy.attached is not None
    summary = proxy.attached.summary
    now = trio.current_time()
    request = Request(
        request_id="one",
        organisation=organisation,
        service=SERVICE,
        method="GET",
        target="/lanes/x",
        headers=[(b"host", b"club.example"), (b"request-id", b"one")],
        deadline=now + 3,
        idempotent=True,
        useful_until=now + 0.4,
        usage_ratio=ratio,
    )
    try:
        async with proxy.handle(
            request, BytesBody(b""), summary.instance, summary.incarnation
        ):
            pass
    except RefusedError as exc:
        context.codes.append(exc.code)


async def read_shares(world: PlatformWorld) -> dict[str, float]:
    text = (await world.nodes["h1"].metrics.render()).decode()
    return {
        (_RESULT.findall(labels) or [name])[0]: float(value)
        for name, labels, value in _SERIES.findall(text)
    }


def send_all(context: Context, count: int, hot: float, usual: float) -> None:
    context.codes = []

    async def scenario(world: PlatformWorld) -> None:
        assert await world.report("h1", slots=1, born=2_000) == 200
        await trio.sleep(4)
        for _ in range(6):
            for name in ("usual-1", "usual-2"):
                await run_request(context, world, name, usual)
            await run_request(context, world, "hot", hot)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(run_request, context, world, "hot", hot)
        context.shares = await read_shares(world)
        await trio.sleep(3)
        context.later_shares = await read_shares(world)

    run_on_platform(context, scenario)


@when("{count:d} requests of an organisation above its share arrive at once")
def step_send_above_share(context: Context, count: int) -> None:
    send_all(context, count, 5.0, 0.5)


@when("{count:d} requests without a usage ratio arrive at once")
def step_send_without_ratio(context: Context, count: int) -> None:
    send_all(context, count, 0.0, 0.0)


@then("the metrics count those refused for it and those that yielded")
def step_check_counts(context: Context) -> None:
    refused = context.codes.count("organisation_above_share")
    assert refused, context.codes
    assert context.shares["refused"] == refused, context.shares
    assert context.shares["yielded"] > 0, context.shares


@then("they show 1 organisation that yields, and 0 after 3 s")
def step_check_organisations(context: Context) -> None:
    shares = (context.shares, context.later_shares)
    name = "rhubarbpaddle_share_organisations"
    assert [values[name] for values in shares] == [1, 0], shares


@then("the metrics show nothing of shares")
def step_check_no_shares(context: Context) -> None:
    assert not context.shares, context.shares
