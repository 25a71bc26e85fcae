import math
from collections.abc import Awaitable, Callable
from contextlib import ExitStack

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.platform_world import (
    PlatformWorld,
    make_configuration,
    run_platform_world,
)
from features.support.raw_caller import RawCaller, RawResponse
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.execution.body_memory import BodyMemory
from rhubarbpaddle.execution.held_body import HeldBody
from standins.large_response import LargeResponse

_GATEWAY = "g"
_HOSTS = ("h1", "h2")
_PART_BYTES = 20_000
# The default of `PlatformInstance`.
_WORK_SECONDS = 0.05


@given(
    "hosts with links of {mbps:g} Mbit/s, and instances that respond with"
    " {length:d} bytes"
)
@given(
    "hosts with links of {mbps:g} Mbit/s, and instances that respond with"
    " {length:d} bytes {framing}"
)
def step_hosts(
    context: Context, mbps: float, length: int, framing: str = ""
) -> None:
    context.mbps = mbps
    context.large = LargeResponse(length, chunked=framing == "in chunks")
    context.failing = {}
    context.slots = None


@given('the instance of "{name}" fails after {count:d} bytes of each body')
def step_fails(context: Context, name: str, count: int) -> None:
    context.failing[name] = count


@given("instances with {slots:d} slot")
def step_slots(context: Context, slots: int) -> None:
    context.slots = slots


def _run(
    context: Context,
    script: Callable[[PlatformWorld], Awaitable[None]],
    target_ms: int = 400,
) -> None:
    async def run(world: PlatformWorld) -> None:
        context.world = world
        world.link_mbps = context.mbps
        await world.start_store(
            make_configuration(
                kind="download", timeoutMs=3000, targetLatencyMs=target_ms
            )
        )
        await world.start_node(_GATEWAY)
        await world.start_serving(*_HOSTS)
        for name, instance in world.instances.items():
            instance.large_response = context.large._replace(
                fails_after=context.failing.get(name)
            )
        if context.slots is not None:
            await world.stop_node("h2")
            # The number of slots is that of the first report of a boot.
            report = {"slots": context.slots, "born": 2_000}
            assert await world.report("h1", **report) == 200
            await trio.sleep(4)
        await script(world)

    run_platform_world(run)


def _make_request(request_id: str, target: str = "/lanes/x") -> bytes:
    return (
        f"GET {target} HTTP/1.1\r\nhost: club.example\r\n"
        f"request-id: {request_id}\r\ndeadline-ms: 3000\r\n\r\n"
    ).encode()


async def _request(
    world: PlatformWorld, name: str, request_id: str, target: str = "/lanes/x"
) -> RawResponse | None:
    stream = await world.fabric.connect("caller", f"{name}:2")
    caller = RawCaller(stream)
    await caller.send(_make_request(request_id, target))
    response = await caller.receive()
    await stream.aclose()
    return response


def _is_whole(context: Context, response: RawResponse | None) -> bool:
    return (
        response is not None
        and response.status == 200
        and response.complete
        and response.body == context.large.make_body()
    )


@when(
    "a caller of a host without an instance requests one, with a latency target"
    " of {target:d} ms"
)
def step_request_one(context: Context, target: int) -> None:
    async def script(world: PlatformWorld) -> None:
        started = trio.current_time()
        context.responses = [await _request(world, _GATEWAY, "one")]
        context.seconds = trio.current_time() - started

    _run(context, script, target)


@then("the response is complete after {least:d} to {most:d} ms")
def step_in_time(context: Context, least: int, most: int) -> None:
    [response] = context.responses
    assert _is_whole(context, response), response and response.status
    assert least <= context.seconds * 1000 <= most, context.seconds


@when(
    'callers of "{name}" and of a host without an instance send {count:d}'
    " requests each"
)
def step_request_several(context: Context, name: str, count: int) -> None:
    async def script(world: PlatformWorld) -> None:
        context.responses = []
        for index in range(count):
            for gateway in (name, _GATEWAY):
                context.responses.append(
                    await _request(world, gateway, f"{gateway}-{index}")
                )
                # An instance that failed gets requests again after a while.
                await trio.sleep(2)

    _run(context, script)


@when(
    "a request is sent {count:d} times, after each of which the instances"
    " restart"
)
def step_crash(context: Context, count: int) -> None:
    async def script(world: PlatformWorld) -> None:
        for index in range(count):
            await _request(world, _GATEWAY, f"c{index}")
            for name in world.instances:
                await world.report(name, born=2_000 + index)
            await trio.sleep(1)

    _run(context, script)


@then("it has run at most {count:d} times")
def step_few_runs(context: Context, count: int) -> None:
    runs = [i.runs for i in context.world.instances.values()]
    assert 2 <= sum(map(len, runs)) <= count, runs


@when("{count:d} different requests are sent, {milliseconds:d} ms apart")
def step_send_different(
    context: Context, count: int, milliseconds: int
) -> None:
    async def script(world: PlatformWorld) -> None:
        connections_before = len(world.fabric.connections)
        for index in range(count):
            await _request(world, _GATEWAY, f"r{index}", f"/lanes/{index}")
            await trio.sleep(milliseconds / 1000)
        context.connections = world.fabric.connections[connections_before:]

    _run(context, script)


@then('the node beside the instance of "{name}" regards it as failing')
def step_failing(context: Context, name: str) -> None:
    attached = context.world.nodes[name].instance_proxy.attached
    assert attached is not None
    assert context.world.instances[name].runs
    assert attached.admission._failures.is_failing()


@then(
    "the gateway has opened at most {limit:d} connection to each host for them"
)
def step_connections(context: Context, limit: int) -> None:
    counts = [context.connections.count((_GATEWAY, name)) for name in _HOSTS]
    assert any(counts) and max(counts) <= limit, counts


@when("the node that sends a response is lost after {milliseconds:d} ms")
def step_lost(context: Context, milliseconds: int) -> None:
    async def script(world: PlatformWorld) -> None:
        context.responses = []

        async def request() -> None:
            context.responses.append(await _request(world, _GATEWAY, "one"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request)
            await trio.sleep(_WORK_SECONDS + milliseconds / 1000)
            assert not context.responses
            [sender] = [
                name
                for name, instance in world.instances.items()
                if instance.runs
            ]
            await world.stop_node(sender)

    _run(context, script)


@then("{count:d} instances have run the request")
def step_run_count(context: Context, count: int) -> None:
    runs = [i.runs for i in context.world.instances.values()]
    assert runs == [["one"]] * count, runs


@then("all responses are complete")
def step_complete(context: Context) -> None:
    statuses = [
        response and (response.status, len(response.body))
        for response in context.responses
    ]
    assert all(
        _is_whole(context, response) for response in context.responses
    ), statuses


@then('the instance of "{name}" has run {count:d} request or more')
def step_has_run(context: Context, name: str, count: int) -> None:
    runs = context.world.instances[name].runs
    assert len(runs) >= count, runs


@then("each response is complete, or ends without appearing complete")
def step_not_wrong(context: Context) -> None:
    body = context.large.make_body()
    for response in context.responses:
        assert response is not None
        assert response.status == 200, response.status
        assert body.startswith(response.body)
        assert response.complete == (response.body == body)


@then("no request has run twice")
def step_once(context: Context) -> None:
    runs = [
        request_id
        for instance in context.world.instances.values()
        for request_id in instance.runs
    ]
    assert len(set(runs)) == len(runs), runs


@then("{count:d} response or more is incomplete")
def step_incomplete(context: Context, count: int) -> None:
    incomplete = [
        response for response in context.responses if not response.complete
    ]
    assert len(incomplete) >= count


@when(
    "a caller does not read its response while {count:d} others request"
    " {length:d} bytes"
)
def step_not_read(context: Context, count: int, length: int) -> None:
    async def script(world: PlatformWorld) -> None:
        await world.stop_node("h2")
        instance = context.instance = world.instances["h1"]
        stream = await world.fabric.connect("caller", f"{_GATEWAY}:2")
        await stream.send_all(_make_request("unread"))
        await trio.sleep(1)
        context.unread_sent_bytes = instance.sent_bytes
        context.large = instance.large_response = LargeResponse(length)
        context.responses = []

        async def request_other(index: int) -> None:
            started = trio.current_time()
            response = await _request(world, _GATEWAY, f"other-{index}")
            context.responses.append((response, trio.current_time() - started))

        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(request_other, index)

    _run(context, script)


@then("the instance has sent at most {limit:d} bytes of the unread response")
def step_back_pressure(context: Context, limit: int) -> None:
    assert 0 < context.unread_sent_bytes <= limit, context.unread_sent_bytes


@then("the others have complete responses within {limit:d} ms")
def step_others(context: Context, limit: int) -> None:
    assert context.responses
    for response, seconds in context.responses:
        assert _is_whole(context, response), response
        assert seconds * 1000 <= limit, seconds


@when('a caller of "{name}" keeps its connection open without reading')
def step_never_reads(context: Context, name: str) -> None:
    async def script(world: PlatformWorld) -> None:
        stream = await world.fabric.connect("caller", f"{name}:2")
        await stream.send_all(_make_request("left"))
        await trio.sleep(0.3)
        context.left_at = trio.current_time()
        await trio.sleep(20)

    _run(context, script)


@when(
    'a caller of "{name}" begins to read its response {seconds:d} s after its'
    " request"
)
def step_reads_late(context: Context, name: str, seconds: int) -> None:
    async def script(world: PlatformWorld) -> None:
        stream = await world.fabric.connect("caller", f"{name}:2")
        caller = RawCaller(stream)
        await caller.send(_make_request("late"))
        await trio.sleep(seconds)
        context.responses = [await caller.receive()]

    _run(context, script)


@then("the response is incomplete, and no request is suspected of a crash")
def step_no_suspects(context: Context) -> None:
    [response] = context.responses
    assert response is not None and not response.complete
    for node in context.world.nodes.values():
        assert not node.instance_proxy._suspects._suspects


@when("a caller leaves while its response is paced")
def step_leave(context: Context) -> None:
    async def script(world: PlatformWorld) -> None:
        stream = await world.fabric.connect("caller", f"{_GATEWAY}:2")
        await stream.send_all(_make_request("left"))
        await trio.sleep(0.3)
        context.left_at = trio.current_time()
        await stream.aclose()
        await trio.sleep(2)

    _run(context, script)


@then("the connection to the instance ends within {limit:d} ms")
def step_ended(context: Context, limit: int) -> None:
    ends = [
        instance.broken_at
        for instance in context.world.instances.values()
        if instance.broken_at is not None
    ]
    assert len(ends) == 1, ends
    assert 0 <= ends[0] - context.left_at <= limit / 1000, ends


@when(
    "{count:d} callers of a host without an instance request them at the same"
    " time"
)
def step_same_time(context: Context, count: int) -> None:
    async def script(world: PlatformWorld) -> None:
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(_request, world, _GATEWAY, f"r{index}")

    _run(context, script)


@then("the second one has started within {limit:d} ms of the first")
def step_second_started(context: Context, limit: int) -> None:
    first, second = context.world.instances["h1"].runs_at
    assert 0 < second - first <= limit / 1000, second - first


class _EndlessParts:
    """A body of parts of equal length."""

    def __init__(self, length: int) -> None:
        self.length = length
        self._remaining = length

    async def receive(self) -> bytes:
        size = min(self._remaining, _PART_BYTES)
        self._remaining -= size
        return b"x" * size


@given("a memory of {size:d} bytes for bodies that are read ahead")
def step_memory(context: Context, size: int) -> None:
    context.memory, context.memory_bytes = BodyMemory(size), size


@when(
    "{count:d} bodies of {length:d} bytes are read ahead up to {limit:d} bytes"
)
def step_read_ahead(
    context: Context, count: int, length: int, limit: int
) -> None:
    async def run() -> None:
        sources = [_EndlessParts(length) for _ in range(count)]
        with ExitStack() as stack:
            bodies = [
                stack.enter_context(HeldBody.hold(source, context.memory))
                for source in sources
            ]
            for body in bodies:
                await body.read_ahead(limit, math.inf, VirtualClock())
            context.held_bytes = sum(
                length - source._remaining for source in sources
            )
            for body in bodies[::2]:
                received = 0
                while part := await body.receive():
                    received += len(part)
                assert received == length, received

    trio.run(run)


@then("at most {limit:d} bytes are held, and all memory is unused at the end")
def step_held(context: Context, limit: int) -> None:
    assert 0 < context.held_bytes <= limit, context.held_bytes
    assert context.memory.try_take(context.memory_bytes)
    assert not context.memory.try_take(1)


@when("the {role} shuts down in the middle of a response")
def step_shut_down(context: Context, role: str) -> None:
    async def script(world: PlatformWorld) -> None:
        await world.stop_node("h2")
        node = world.nodes[_GATEWAY if role == "gateway" else "h1"]
        context.responses = []

        async def request() -> None:
            context.responses.append(await _request(world, _GATEWAY, "one"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request)
            await trio.sleep(0.15)
            assert not context.responses
            context.uninterrupted = await node.shut_down()

    _run(context, script)


@then("the response is complete and the shutdown reports no interrupted work")
def step_uninterrupted(context: Context) -> None:
    [response] = context.responses
    assert _is_whole(context, response), response and response.status
    assert context.uninterrupted
