from contextlib import ExitStack

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import defer_step
from features.support.platform_world import (
    PlatformWorld,
    make_configuration,
)
from rhubarbpaddle.execution.body_memory import BodyMemory
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.kept_body import KeptBody

_HOSTS = ("h1", "h2")


@given("two instances of which the first one {disturbs}")
def step_start(context: Context, disturbs: str) -> None:
    async def run() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration())
        await world.start_serving(*_HOSTS)
        instance = world.instances["h1"]
        match disturbs:
            case "truncates its responses by their last byte":
                instance.truncated_length = -1
            case "closes the connection without a response":
                instance.truncated_length = 0
            case "sends 40 bytes of each response":
                instance.truncated_length = 40
            case "sends bytes that are no response":
                instance.garbage = b"\x00\xffno response\r\n\r\n"
            case "refuses all requests as not run":
                instance.refuses_all = True
            case _:
                raise ValueError(disturbs)

    defer_step(context, run)


@when(
    "callers of both hosts send {count:d} requests each with {size:d} bytes"
    " {framing}"
)
def step_send(context: Context, count: int, size: int, framing: str) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        context.body = bytes(index % 251 for index in range(size))
        context.responses = [
            await world.send_request(
                name,
                f"{name}-{index}",
                method="PUT",
                body=context.body,
                chunked=framing == "in chunks",
            )
            for index in range(count)
            for name in _HOSTS
        ]

    defer_step(context, run)


@then("the second instance ran each request that the first one got")
def step_check_resent(context: Context) -> None:
    async def run() -> None:
        first, second = (context.world.instances[name] for name in _HOSTS)
        assert first.arrivals
        assert set(first.arrivals) <= set(second.runs)

    defer_step(context, run)


@then("each run had the whole body and each caller got 200")
def step_check_responses(context: Context) -> None:
    async def run() -> None:
        _check_bodies(context)
        statuses = [response.status for response in context.responses]
        assert set(statuses) == {200}, statuses

    defer_step(context, run)


@then("no request ran at both instances and each run had the whole body")
def step_check_not_resent(context: Context) -> None:
    async def run() -> None:
        first, second = (context.world.instances[name] for name in _HOSTS)
        assert first.runs and second.runs
        assert not set(first.runs) & set(second.runs)
        _check_bodies(context)

    defer_step(context, run)


def _check_bodies(context: Context) -> None:
    for name in _HOSTS:
        instance = context.world.instances[name]
        lengths = [len(body) for body in instance.bodies]
        assert set(instance.bodies) <= {context.body}, lengths


@given("memory for {size:d} bytes of kept bodies")
def step_create_memory(context: Context, size: int) -> None:
    context.memory = BodyMemory(size)
    context.kept_bodies = ExitStack()


@when(
    "bodies of {first:d}, {second:d} and {third:d} bytes are read at the same"
    " time"
)
def step_read_bodies(
    context: Context, first: int, second: int, third: int
) -> None:
    context.bodies = [_keep(context, size) for size in (first, second, third)]


def _keep(context: Context, size: int) -> KeptBody:
    """Returns a kept body that has been read to its end."""
    body = context.kept_bodies.enter_context(
        KeptBody.keep(BytesBody(bytes(size)), context.memory)
    )

    async def read() -> None:
        while await body.receive():
            pass

    trio.run(read)
    assert isinstance(body, KeptBody)
    return body


@then("the first and the third can be read again, and the second can't")
def step_check_rewind(context: Context) -> None:
    rewindable = [body.can_rewind() for body in context.bodies]
    assert rewindable == [True, False, True], rewindable


@then(
    "a further body of {long:d} bytes can't be kept, but one of {short:d} bytes"
    " can after the others ended"
)
def step_check_released(context: Context, long: int, short: int) -> None:
    context.kept_bodies.close()
    assert not _keep(context, long).can_rewind()
    assert _keep(context, short).can_rewind()
