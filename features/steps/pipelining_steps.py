import random
from itertools import pairwise
from typing import NamedTuple

import logbook
import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import defer_step
from features.support.http_world import (
    HttpWorld,
    make_request,
    run_http_world,
)
from features.support.platform_world import (
    PlatformWorld,
    make_configuration,
)
from features.support.raw_caller import RawCaller, RawResponse
from standins.large_response import LargeResponse

_NODE = "h1"


class _Sent(NamedTuple):
    """A request that a caller has sent."""

    request_id: str
    method: str = "GET"
    body: bytes = b""


def _make_request(
    request_id: str,
    method: str = "GET",
    path: str = "/lanes/x",
    deadline_ms: int = 1000,
    body: bytes = b"",
    headers: str = "",
) -> bytes:
    length = f"content-length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: club.example\r\n"
        f"request-id: {request_id}\r\ndeadline-ms: {deadline_ms}\r\n"
        f"{length}{headers}\r\n"
    )
    return head.encode() + body


async def _connect(world: PlatformWorld) -> RawCaller:
    return RawCaller(await world.fabric.connect("caller", f"{_NODE}:2"))


async def _receive_all(caller: RawCaller) -> list[RawResponse]:
    """Receives responses until the connection ends."""
    responses = []
    while (response := await caller.receive()) is not None:
        responses.append(response)
        if not response.complete:
            break
    return responses


def _set_work(world: PlatformWorld, request_id: str, seconds: float) -> None:
    for instance in world.instances.values():
        instance.work_seconds_by_id[request_id] = seconds


def _get_runs(world: PlatformWorld) -> list[str]:
    return [
        request_id
        for instance in world.instances.values()
        for request_id in instance.runs
    ]


def _get_bodies(responses: list[RawResponse | None]) -> list[str]:
    assert None not in responses, responses
    return [response.body.decode() for response in responses if response]


@given('a route of kind "{kind}" and {count:d} host')
@given('a route of kind "{kind}" and {count:d} hosts')
def step_hosts(context: Context, kind: str, count: int) -> None:
    async def run() -> None:
        world = context.world = PlatformWorld(context.nursery)
        await world.start_store(make_configuration(kind=kind))
        await world.start_serving(*(f"h{n + 1}" for n in range(count)))
        # The instances are no longer cold.
        await trio.sleep(4)

    defer_step(context, run)


@given("instances with responses of {length:d} bytes")
def step_large(context: Context, length: int) -> None:
    async def run() -> None:
        context.large = LargeResponse(length)
        for instance in context.world.instances.values():
            instance.large_response = context.large

    defer_step(context, run)


@when(
    'a caller sends {method} requests that take "{times}" ms, {pause:d} ms'
    " apart"
)
def step_send(context: Context, method: str, times: str, pause: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        caller = await _connect(world)
        seconds = [int(time) / 1000 for time in times.split(", ")]
        context.ids = [f"r{index}" for index in range(len(seconds))]
        started = trio.current_time()
        data = b""
        for request_id, work in zip(context.ids, seconds, strict=True):
            _set_work(world, request_id, work)
            data += _make_request(request_id, method)
            if pause:
                await caller.send(data)
                data = b""
                await trio.sleep(pause / 1000)
        if data:
            await caller.send(data)
        context.responses = [await caller.receive() for _ in context.ids]
        context.seconds = trio.current_time() - started

    defer_step(context, run)


@then(
    "the responses arrive in order, the last one after {least:d} to {most:d} ms"
)
def step_in_order(context: Context, least: int, most: int) -> None:
    async def run() -> None:
        assert _get_bodies(context.responses) == context.ids
        assert least <= round(context.seconds * 1000) <= most, context.seconds

    defer_step(context, run)


@then("no two requests have run at the same time")
def step_serial(context: Context) -> None:
    async def run() -> None:
        starts = sorted(
            (start, instance.work_seconds_by_id[request_id])
            for instance in context.world.instances.values()
            for request_id, start in zip(
                instance.runs, instance.runs_at, strict=True
            )
        )
        assert len(starts) == len(context.ids)
        for (start, work), (next_start, _) in pairwise(starts):
            assert round(next_start - start, 6) >= work, starts

    defer_step(context, run)


@when(
    "a caller sends a GET, a PUT with a body of {length:d} bytes, a chunked"
    " PUT, and a GET"
)
def step_send_bodies(context: Context, length: int) -> None:
    async def run() -> None:
        caller = await _connect(context.world)
        # Looks like further requests.
        context.bodies = [
            (_make_request("x") * 100)[:length],
            _make_request("y") * 2,
        ]
        chunk = context.bodies[1]
        chunked = _make_request(
            "r2", "PUT", headers="transfer-encoding: chunked\r\n"
        )
        await caller.send(
            _make_request("r0")
            + _make_request("r1", "PUT", body=context.bodies[0])
            + chunked
            + b"%x\r\n%b\r\n0\r\n\r\n" % (len(chunk), chunk)
            + _make_request("r3")
        )
        context.responses = [await caller.receive() for _ in range(4)]

    defer_step(context, run)


@then("each response belongs to its request, and the bodies have arrived")
def step_bodies(context: Context) -> None:
    async def run() -> None:
        assert _get_bodies(context.responses) == ["r0", "r1", "r2", "r3"]
        bodies = {
            request_id: body
            for instance in context.world.instances.values()
            for request_id, body in zip(
                instance.runs, instance.bodies, strict=True
            )
        }
        assert bodies == {
            "r0": b"",
            "r1": context.bodies[0],
            "r2": context.bodies[1],
            "r3": b"",
        }

    defer_step(context, run)


@when(
    "a caller sends {count:d} GET requests with {size:d} bytes of headers"
    " behind one of {first:d} ms"
)
def step_send_many(context: Context, count: int, size: int, first: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        caller = await _connect(world)
        context.ids = [f"r{index}" for index in range(count + 1)]
        _set_work(world, "r0", first / 1000)
        padding = f"x-padding: {'x' * size}\r\n"
        data = b"".join(
            _make_request(request_id, deadline_ms=1000, headers=padding)
            for request_id in context.ids
        )
        context.nursery.start_soon(caller.send, data)
        await trio.sleep(0.5)
        context.read = world.nodes[_NODE]._caller_handler.work.count
        context.responses = [await caller.receive() for _ in context.ids]

    defer_step(context, run)


@then(
    "{count:d} requests have been read meanwhile, and all get responses in"
    " order"
)
def step_read_count(context: Context, count: int) -> None:
    async def run() -> None:
        assert context.read == count, context.read
        assert _get_bodies(context.responses) == context.ids

    defer_step(context, run)


@when(
    "{callers:d} callers send {count:d} GET requests of {work:d} ms each at the"
    " same time"
)
def step_send_from_many(
    context: Context, callers: int, count: int, work: int
) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        context.expected = {}
        context.received = {}
        context.max_ahead = 0

        async def call(name: str) -> None:
            caller = await _connect(world)
            ids = [f"{name}-{index}" for index in range(count)]
            context.expected[name] = ids
            for request_id in ids:
                _set_work(world, request_id, work / 1000)
            await caller.send(b"".join(map(_make_request, ids)))
            responses = [await caller.receive() for _ in ids]
            context.received[name] = [
                response and response.headers["request-id"]
                for response in responses
            ]

        async def observe() -> None:
            handler = world.nodes[_NODE]._caller_handler
            while True:
                context.max_ahead = max(context.max_ahead, handler._ahead_count)
                await trio.sleep(0.005)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(observe)
            async with trio.open_nursery() as calls:
                for index in range(callers):
                    calls.start_soon(call, f"c{index}")
            nursery.cancel_scope.cancel()
        context.ahead_at_end = world.nodes[_NODE]._caller_handler._ahead_count

    defer_step(context, run)


@then(
    "at most {limit:d} requests run ahead, and all callers get their responses"
)
def step_ahead_count(context: Context, limit: int) -> None:
    async def run() -> None:
        assert 0 < context.max_ahead <= limit, context.max_ahead
        assert context.ahead_at_end == 0, context.ahead_at_end
        assert context.received == context.expected, context.received

    defer_step(context, run)


@when(
    "a caller sends a GET of {first:d} ms, and a {method} of {second:d} ms with"
    " a deadline of {deadline:d} ms"
)
def step_send_deadline(
    context: Context, first: int, method: str, second: int, deadline: int
) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        caller = await _connect(world)
        _set_work(world, "r0", first / 1000)
        _set_work(world, "r1", second / 1000)
        await caller.send(
            _make_request("r0")
            + _make_request("r1", method, deadline_ms=deadline)
        )
        context.responses = [await caller.receive() for _ in range(2)]

    defer_step(context, run)


@then(
    "the second response has status {status:d} and its request has run"
    " {count:d} times"
)
def step_second(context: Context, status: int, count: int) -> None:
    async def run() -> None:
        statuses = [response.status for response in context.responses]
        assert statuses == [200, status], statuses
        runs = _get_runs(context.world)
        assert runs.count("r1") == count, runs

    defer_step(context, run)


@when(
    "a caller sends {before:d} GET requests, one that closes the connection,"
    " and {after:d} more"
)
def step_send_close(context: Context, before: int, after: int) -> None:
    async def run() -> None:
        caller = await _connect(context.world)
        await caller.send(
            b"".join(_make_request(f"r{index}") for index in range(before))
            + _make_request("last", headers="connection: close\r\n")
            + b"".join(_make_request(f"s{index}") for index in range(after))
        )
        context.responses = await _receive_all(caller)
        await trio.sleep(1)

    defer_step(context, run)


@then(
    "{responses:d} responses arrive, the connection ends, and {runs:d} requests"
    " have run"
)
def step_closed(context: Context, responses: int, runs: int) -> None:
    async def run() -> None:
        statuses = [response.status for response in context.responses]
        assert statuses == [200] * responses, statuses
        last = context.responses[-1]
        assert last.headers["connection"] == "close", last
        assert len(_get_runs(context.world)) == runs

    defer_step(context, run)


@when("the first of {count:d} pipelined responses fails after {size:d} bytes")
def step_fail(context: Context, count: int, size: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        for instance in world.instances.values():
            instance.large_response = LargeResponse(540_000, fails_after=size)
        caller = await _connect(world)
        handler = logbook.TestHandler()
        with handler.applicationbound():
            await caller.send(
                b"".join(_make_request(f"r{i}") for i in range(count))
            )
            context.responses = await _receive_all(caller)
            await trio.sleep(1)
        context.log = [str(record.message) for record in handler.records]

    defer_step(context, run)


@then("the connection ends without another response")
def step_truncated(context: Context) -> None:
    async def run() -> None:
        [response] = context.responses
        assert not response.complete

    defer_step(context, run)


@then("the log says that {count:d} pipelined requests were discarded")
def step_logged_discarded(context: Context, count: int) -> None:
    async def run() -> None:
        lines = [
            line
            for line in context.log
            if f"event=pipelined_requests_discarded count={count}" in line
        ]
        assert len(lines) == 1, context.log

    defer_step(context, run)


@when(
    "a caller sends a GET, one without a route, another GET, and bytes that are"
    " no request"
)
def step_send_refused(context: Context) -> None:
    async def run() -> None:
        caller = await _connect(context.world)
        _set_work(context.world, "r0", 0.3)
        await caller.send(
            _make_request("r0")
            + _make_request("r1", path="/unknown")
            + _make_request("r2")
            + b"no request\r\n\r\n"
        )
        started = trio.current_time()
        context.responses = await _receive_all(caller)
        context.seconds = trio.current_time() - started

    defer_step(context, run)


@when("a caller sends a GET and half a head")
def step_send_half(context: Context) -> None:
    async def run() -> None:
        caller = await _connect(context.world)
        await caller.send(_make_request("r0") + _make_request("r1")[:30])
        started = trio.current_time()
        context.responses = await _receive_all(caller)
        context.seconds = trio.current_time() - started

    defer_step(context, run)


@then('the statuses are "{statuses}" and the connection ends')
@then(
    'the statuses are "{statuses}" and the connection ends after {least:d} to'
    " {most:d} s"
)
def step_statuses(
    context: Context, statuses: str, least: int = 0, most: int = 1
) -> None:
    async def run() -> None:
        expected = list(map(int, statuses.split(", ")))
        received = [response.status for response in context.responses]
        assert received == expected, received
        assert least <= context.seconds <= most, context.seconds

    defer_step(context, run)


@when(
    "a node drains while {count:d} pipelined requests have been read and"
    " {more:d} more arrive"
)
def step_drain(context: Context, count: int, more: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        node = world.nodes[_NODE]
        context.ids = [f"r{index}" for index in range(count)]
        world.put_configuration(
            make_configuration(version=2, timeoutMs=4000, targetLatencyMs=3900)
        )
        await trio.sleep(3)
        caller = await _connect(world)
        for request_id in context.ids:
            _set_work(world, request_id, 0.1)
        # Notice of the stop lasts for 3 s, after which the node drains.
        _set_work(world, "r0", 1.5)
        context.completed = None

        async def shut_down() -> None:
            context.completed = await node.shut_down()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(shut_down)
            await trio.sleep(2)
            await caller.send(
                b"".join(
                    _make_request(request_id, deadline_ms=4000)
                    for request_id in context.ids
                )
            )
            await trio.sleep(1.1)
            await caller.send(
                b"".join(
                    _make_request(f"s{index}", deadline_ms=4000)
                    for index in range(more)
                )
            )
            context.responses = await _receive_all(caller)
            await caller.stream.aclose()

    defer_step(context, run)


@then("{count:d} responses arrive, only the last of them closes the connection")
def step_drained(context: Context, count: int) -> None:
    async def run() -> None:
        assert _get_bodies(context.responses) == context.ids
        closes = [
            "connection" in response.headers for response in context.responses
        ]
        assert closes == [False] * (count - 1) + [True], closes
        runs = _get_runs(context.world)
        assert sorted(runs) == sorted(context.ids), runs

    defer_step(context, run)


@then("the shutdown reports that it interrupted nothing")
def step_completed(context: Context) -> None:
    async def run() -> None:
        assert context.completed is True

    defer_step(context, run)


@when("a caller leaves while {count:d} pipelined requests run")
def step_leave(context: Context, count: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        caller = await _connect(world)
        handler = logbook.TestHandler()
        context.ids = [f"r{index}" for index in range(count)]
        with handler.applicationbound():
            for request_id in context.ids:
                _set_work(world, request_id, 0.9)
            await caller.send(b"".join(map(_make_request, context.ids)))
            await trio.sleep(0.2)
            assert sorted(_get_runs(world)) == context.ids
            await caller.stream.aclose()
            await trio.sleep(0.3)
        context.log = [str(record.message) for record in handler.records]

    defer_step(context, run)


@then("no request of the caller runs or waits {milliseconds:d} ms later")
def step_nothing_runs(context: Context, milliseconds: int) -> None:
    async def run() -> None:
        for node in context.world.nodes.values():
            assert node._caller_handler.work.count == 0
            attached = node.instance_proxy.attached
            assert attached is not None
            assert attached.admission.in_flight == 0

    defer_step(context, run)


@then("the log names each of the {count:d} requests as abandoned")
def step_logged_left(context: Context, count: int) -> None:
    async def run() -> None:
        for request_id in context.ids:
            expected = f"event=caller_left request_id={request_id} stage="
            lines = [line for line in context.log if expected in line]
            assert len(lines) == 1, context.log

    defer_step(context, run)


@then("all large responses are complete, the last one within {limit:d} ms")
def step_large_complete(context: Context, limit: int) -> None:
    async def run() -> None:
        body = context.large.make_body()
        for request_id, response in zip(
            context.ids, context.responses, strict=True
        ):
            assert response.headers["request-id"] == request_id
            assert response.complete and response.body == body
        assert context.seconds * 1000 <= limit, context.seconds

    defer_step(context, run)


def _count_caller_tasks() -> tuple[int, int]:
    """Returns the tasks of callers' connections and those started by them."""
    root = trio.lowlevel.current_root_task()
    assert root is not None
    tasks = [root]
    connections = started = 0
    while tasks:
        task = tasks.pop()
        children = [
            child
            for nursery in task.child_nurseries
            for child in nursery.child_tasks
        ]
        tasks += children
        if task.name.endswith("._handle_caller"):
            connections += 1
            started += len(children)
    return connections, started


@when("{count:d} callers send {requests:d} requests each, one after another")
def step_send_serially(context: Context, count: int, requests: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        callers = [await _connect(world) for _ in range(count)]
        for caller in callers:
            for index in range(requests):
                await caller.send(_make_request(f"r{index}"))
                # While the request runs.
                await trio.sleep(0.02)
                context.tasks = _count_caller_tasks()
                response = await caller.receive()
                assert response is not None and response.status == 200
        context.metrics = await world.nodes[_NODE].metrics.render()

    defer_step(context, run)


@then("each connection has one task, and nothing was read ahead")
def step_no_tasks(context: Context) -> None:
    async def run() -> None:
        assert context.tasks == (10, 0), context.tasks
        assert b"requests_pipelined" not in context.metrics

    defer_step(context, run)


def _make_random_request(rng: random.Random, request_id: str) -> bytes:
    method = rng.choice(("GET", "GET", "GET", "PUT", "DELETE"))
    path = rng.choice(("/lanes/x",) * 9 + ("/unknown",))
    if method != "PUT" or path == "/unknown":
        return _make_request(request_id, method, path, 9999)
    body = rng.randbytes(rng.choice((1, 10, 20_000)))
    if rng.random() < 0.5:
        return _make_request(request_id, method, path, 9999, body)
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    headers = "transfer-encoding: chunked\r\n"
    return _make_request(request_id, method, path, 9999, b"", headers) + chunk


@when(
    "{callers:d} callers with random seeds send {count:d} random requests in"
    " random pieces"
)
def step_send_random(context: Context, callers: int, count: int) -> None:
    async def run() -> None:
        world: PlatformWorld = context.world
        world.put_configuration(make_configuration(version=2, timeoutMs=9999))
        await trio.sleep(3)
        context.expected = {}
        context.received = {}

        async def send(
            caller: RawCaller, rng: random.Random, data: bytes
        ) -> None:
            while data:
                size = rng.choice((1, 30, 200, 5000, 100_000))
                await caller.send(data[:size])
                data = data[size:]
                if rng.random() < 0.3:
                    await trio.sleep(rng.random() * 0.1)

        async def call(seed: int) -> None:
            rng = random.Random(seed)
            caller = await _connect(world)
            ids = [f"{seed}-{index}" for index in range(count)]
            context.expected[seed] = ids
            for request_id in ids:
                _set_work(world, request_id, rng.choice((0.001, 0.01, 0.2)))
            data = b"".join(_make_random_request(rng, name) for name in ids)
            received = context.received[seed] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, caller, rng, data)
                for _ in ids:
                    response = await caller.receive()
                    assert response is not None, (seed, received)
                    assert response.complete
                    received.append(response.headers["request-id"])

        for seed in range(callers):
            await call(seed)

    defer_step(context, run)


@then("each gets all its responses in order")
def step_random_in_order(context: Context) -> None:
    async def run() -> None:
        assert context.received == context.expected

    defer_step(context, run)


@when(
    'a caller of a product node sends "{targets}" and closes its sending side'
)
def step_half_close_pipeline(context: Context, targets: str) -> None:
    async def run_scenario(world: HttpWorld) -> list[RawResponse]:
        caller = await world.connect("b1")
        await caller.send(
            b"".join(
                make_request("GET", target) for target in targets.split(", ")
            )
        )
        await caller.stream.send_eof()
        started = trio.current_time()
        responses = await _receive_all(caller)
        context.seconds = trio.current_time() - started
        return responses

    context.responses = run_http_world(run_scenario)
    context.expected = targets.split(", ")


@then(
    "it receives {count:d} responses in order within {limit:g} s, and the"
    " connection ends"
)
def step_half_closed(context: Context, count: int, limit: float) -> None:
    assert _get_bodies(context.responses) == context.expected
    assert len(context.responses) == count
    assert context.seconds <= limit, context.seconds
