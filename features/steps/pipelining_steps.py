import random
from collections.abc import Awaitable, Callable
from itertools import accumulate

import logbook
import trio
from behave import given, then, when
from behave.runner import Context

from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.platform_world import (
    PlatformWorld,
    make_configuration,
    run_platform_world,
)
from features.support.raw_caller import RawCaller, RawResponse
from standins.large_response import LargeResponse

_NODE = "h1"


def _make_request(
    request_id: str,
    method: str = "GET",
    path: str = "/lanes/x",
    deadline_ms: int = 4000,
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


def _make_chunked(request_id: str, path: str, body: bytes) -> bytes:
    headers = "transfer-encoding: chunked\r\n"
    head = _make_request(request_id, "PUT", path, headers=headers)
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def _make_described(request_id: str, method: str, unusual: str) -> bytes:
    body = _make_request("no-request") * 20
    match method, unusual:
        case "BAD", _:
            return b"no request\r\n\r\n"
        case "HALF", _:
            return _make_request(request_id)[:30]
        case _, "body":
            return _make_request(request_id, method, body=body)
        case _, "chunked":
            return _make_chunked(request_id, "/lanes/x", body)
        case _, "soon":
            return _make_request(request_id, method, deadline_ms=300)
        case _, "unknown":
            return _make_request(request_id, method, "/unknown")
        case _, "close":
            close = "connection: close\r\n"
            return _make_request(request_id, method, headers=close)
    return _make_request(request_id, method)


async def _connect(world: PlatformWorld) -> RawCaller:
    return RawCaller(await world.fabric.connect("caller", f"{_NODE}:2"))


async def _receive_all(caller: RawCaller) -> list[RawResponse]:
    """Receives responses until the connection ends or is silent for 12 s."""
    responses: list[RawResponse] = []
    with trio.move_on_after(12):
        while (response := await caller.receive()) is not None:
            responses.append(response)
            if not response.complete:
                break
    return responses


def _set_work(world: PlatformWorld, request_id: str, seconds: float) -> None:
    for instance in world.instances.values():
        instance.work_seconds_by_id[request_id] = seconds


def _get_ids(responses: list[RawResponse]) -> list[str]:
    return [response.headers["request-id"] for response in responses]


def _run(
    context: Context, script: Callable[[PlatformWorld], Awaitable[None]]
) -> None:
    async def run(world: PlatformWorld) -> None:
        context.world = world
        await world.start_store(
            make_configuration(
                kind=context.kind, timeoutMs=4000, targetLatencyMs=3900
            )
        )
        await world.start_serving(*(f"h{n + 1}" for n in range(context.hosts)))
        if context.slots is not None:
            # The number of slots is that of the first report of a boot.
            report = {"slots": context.slots, "born": 2_000}
            assert await world.report(_NODE, **report) == 200
        # The instances are no longer cold.
        await trio.sleep(4)
        for instance in world.instances.values():
            instance.large_response = context.large
        await script(world)
        context.instances = list(world.instances.values())

    handler = logbook.TestHandler()
    with handler.applicationbound():
        run_platform_world(run)
    context.log = [str(record.message) for record in handler.records]


@given('a route of kind "{kind}" and {count:d} host')
@given('a route of kind "{kind}" and {count:d} hosts')
def step_hosts(context: Context, kind: str, count: int) -> None:
    context.kind, context.hosts, context.large = kind, count, None
    context.slots = None


@given("{slots:d} slots at the instance")
def step_slots(context: Context, slots: int) -> None:
    context.slots = slots


@given("responses of {length:d} bytes")
@given("responses of {length:d} bytes that fail after {size:d}")
def step_large(context: Context, length: int, size: int | None = None) -> None:
    context.large = LargeResponse(length, fails_after=size)


@when('a caller sends "{requests}", {pause:d} ms apart')
def step_send(context: Context, requests: str, pause: int) -> None:
    async def script(world: PlatformWorld) -> None:
        caller = await _connect(world)
        parts = []
        for index, request in enumerate(requests.split(", ")):
            method, work, *unusual = request.split()
            _set_work(world, f"r{index}", int(work) / 1000)
            parts.append(_make_described(f"r{index}", method, "".join(unusual)))
        context.responses, context.times = [], []
        started = trio.current_time()

        async def send() -> None:
            for part in parts if pause else [b"".join(parts)]:
                await caller.send(part)
                await trio.sleep(pause / 1000)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            for _ in parts:
                response = await caller.receive()
                if response is None:
                    break
                context.responses.append(response)
                context.times.append(trio.current_time() - started)
                if not response.complete:
                    break

    _run(context, script)


@then(
    'the statuses are "{statuses}", the last one after {least:d} to {most:d} ms'
)
def step_statuses(
    context: Context, statuses: str, least: int, most: int
) -> None:
    received = [response.status for response in context.responses]
    assert ", ".join(map(str, received)) == statuses, received
    assert least <= round(context.times[-1] * 1000) <= most, context.times
    for index, response in enumerate(context.responses):
        if response.status in (400, 408):
            continue
        assert response.headers["request-id"] == f"r{index}", response
        if response.status == 200:
            expected = f"r{index}".encode()
            if context.large is not None:
                expected = context.large.make_body()
            assert response.complete and response.body == expected


@then("{runs:d} requests have run, {together:d} of them at the same time")
def step_runs(context: Context, runs: int, together: int) -> None:
    changes = []
    for instance in context.instances:
        for request_id, start, body in zip(
            instance.runs, instance.runs_at, instance.bodies, strict=True
        ):
            work = instance.work_seconds_by_id[request_id]
            changes += [(round(start, 6), 1), (round(start + work, 6), -1)]
            assert body in (b"", _make_request("no-request") * 20), body
    assert len(changes) == 2 * runs, changes
    running = accumulate(change for _, change in sorted(changes))
    assert max(running) == together, changes


@when(
    "a caller sends {count:d} requests with {size:d} bytes of headers behind a"
    " slow one"
)
def step_send_many(context: Context, count: int, size: int) -> None:
    async def script(world: PlatformWorld) -> None:
        caller = await _connect(world)
        context.ids = [f"r{index}" for index in range(count + 1)]
        _set_work(world, "r0", 0.9)
        padding = f"x-padding: {'x' * size}\r\n"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                caller.send,
                b"".join(
                    _make_request(request_id, headers=padding)
                    for request_id in context.ids
                ),
            )
            await trio.sleep(0.5)
            context.read = world.nodes[_NODE]._caller_handler.work.count
            context.responses = await _receive_all(caller)

    _run(context, script)


@then(
    "{count:d} requests have been read meanwhile, and all get responses in"
    " order"
)
def step_read_count(context: Context, count: int) -> None:
    assert context.read == count, context.read
    assert _get_ids(context.responses) == context.ids


def _make_random_request(rng: random.Random, request_id: str) -> bytes:
    method = rng.choice(("GET",) * 6 + ("PUT", "DELETE"))
    path = rng.choice(("/lanes/x",) * 19 + ("/unknown",))
    if method != "PUT" or path == "/unknown":
        return _make_request(request_id, method, path)
    body = rng.randbytes(rng.choice((1, 10, 20_000)))
    if rng.random() < 0.5:
        return _make_request(request_id, method, path, body=body)
    return _make_chunked(request_id, path, body)


@when(
    "{callers:d} callers send {count:d} random requests each in random pieces"
)
def step_send_random(context: Context, callers: int, count: int) -> None:
    context.ids = [
        [f"{seed}-{index}" for index in range(count)] for seed in range(callers)
    ]
    context.received = {}
    context.max_ahead = 0

    async def script(world: PlatformWorld) -> None:
        handler = world.nodes[_NODE]._caller_handler

        async def send(
            caller: RawCaller, rng: random.Random, data: bytes
        ) -> None:
            while data:
                size = rng.choice((1, 30, 200, 5000, 100_000))
                await caller.send(data[:size])
                data = data[size:]
                if rng.random() < 0.3:
                    await trio.sleep(rng.random() * 0.1)
                context.max_ahead = max(context.max_ahead, handler._ahead_count)

        async def call(seed: int) -> None:
            rng = random.Random(seed)
            caller = await _connect(world)
            ids = context.ids[seed]
            for request_id in ids:
                _set_work(world, request_id, rng.choice((0.001, 0.01, 0.2)))
            data = b"".join(_make_random_request(rng, name) for name in ids)
            if seed >= callers / 2:
                data = b"".join(map(_make_request, ids))
            responses = context.received[seed] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, caller, rng, data)
                for _ in ids:
                    response = await caller.receive()
                    assert response is not None, (seed, len(responses))
                    responses.append(response)

        async with trio.open_nursery() as nursery:
            for seed in range(callers):
                nursery.start_soon(call, seed)
                # Half of the callers are alone. The others, who send only GET
                # requests, reach the limit of the node.
                await trio.sleep(5 if seed < callers / 2 else 0)
        assert handler._ahead_count == 0, handler._ahead_count

    _run(context, script)


@then(
    "all get their responses in order, and at most {limit:d} requests have run"
    " ahead"
)
def step_all_in_order(context: Context, limit: int) -> None:
    assert context.max_ahead == limit, context.max_ahead
    for seed, ids in enumerate(context.ids):
        assert _get_ids(context.received[seed]) == ids, seed
        assert all(r.complete for r in context.received[seed]), seed


@when(
    'a caller sends "{requests}", and another caller sends a request'
    " {milliseconds:d} ms later"
)
def step_send_beside(
    context: Context, requests: str, milliseconds: int
) -> None:
    async def script(world: PlatformWorld) -> None:
        caller, other = await _connect(world), await _connect(world)
        data = b""
        for index, request in enumerate(requests.split(", ")):
            method, work = request.split()
            _set_work(world, f"r{index}", int(work) / 1000)
            data += _make_request(f"r{index}", method)
        await caller.send(data)
        await trio.sleep(milliseconds / 1000)
        started = trio.current_time()
        await other.send(_make_request("other"))
        context.other_response = await other.receive()
        context.other_seconds = trio.current_time() - started

    _run(context, script)


@then("the other caller has its response within {milliseconds:d} ms")
def step_other_response(context: Context, milliseconds: int) -> None:
    response = context.other_response
    assert response is not None and response.status == 200, response
    seconds = context.other_seconds
    assert seconds * 1000 <= milliseconds, seconds


@then("only a part of the first response arrives")
def step_truncated(context: Context) -> None:
    [response] = context.responses
    assert not response.complete


@then('the log has {count:d} line with "{text}"')
@then('the log has {count:d} lines with "{text}"')
def step_logged(context: Context, count: int, text: str) -> None:
    lines = [line for line in context.log if text in line]
    assert len(lines) == count, lines


@when(
    "a node drains while {count:d} pipelined requests have been read and"
    " {more:d} more arrive"
)
def step_drain(context: Context, count: int, more: int) -> None:
    async def script(world: PlatformWorld) -> None:
        context.ids = [f"r{index}" for index in range(count)]
        caller = await _connect(world)
        _set_work(world, "r0", 1.5)

        async def shut_down() -> None:
            context.completed = await world.nodes[_NODE].shut_down()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(shut_down)
            # The node drains 3 s after the stop began.
            await trio.sleep(2)
            await caller.send(b"".join(map(_make_request, context.ids)))
            await trio.sleep(1.1)
            late = [f"late-{index}" for index in range(more)]
            await caller.send(b"".join(map(_make_request, late)))
            context.responses = await _receive_all(caller)
            await caller.stream.aclose()

    _run(context, script)


@then(
    "{count:d} responses arrive in order, and only the last of them closes the"
    " connection"
)
def step_drained(context: Context, count: int) -> None:
    assert _get_ids(context.responses) == context.ids
    closes = [
        "connection" in response.headers for response in context.responses
    ]
    assert closes == [False] * (count - 1) + [True], closes
    runs = [name for instance in context.instances for name in instance.runs]
    assert sorted(runs) == context.ids, runs


@then("the shutdown reports that it interrupted nothing")
def step_completed(context: Context) -> None:
    assert context.completed is True


@when(
    "a caller leaves while {count:d} pipelined requests run and a fourth waits"
    " for its turn"
)
def step_leave(context: Context, count: int) -> None:
    async def script(world: PlatformWorld) -> None:
        caller = await _connect(world)
        ids = [f"r{index}" for index in range(count)]
        for request_id in ids:
            _set_work(world, request_id, 0.9)
        waiting = _make_request(f"r{count}", "PUT")
        await caller.send(b"".join(map(_make_request, ids)) + waiting)
        await trio.sleep(0.2)
        runs = [name for i in world.instances.values() for name in i.runs]
        assert sorted(runs) == ids, runs
        await caller.stream.aclose()
        await trio.sleep(0.3)
        context.running = [
            (
                node._caller_handler.work.count,
                node.instance_proxy.attached.admission.in_flight,
            )
            for node in world.nodes.values()
            if node.instance_proxy.attached is not None
        ]

    _run(context, script)


@then("nothing of it runs {milliseconds:d} ms later")
def step_nothing_runs(context: Context, milliseconds: int) -> None:
    assert context.running == [(0, 0), (0, 0)], context.running


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
    async def script(world: PlatformWorld) -> None:
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

    _run(context, script)


@then("each connection has one task, and nothing was read ahead")
def step_no_tasks(context: Context) -> None:
    assert context.tasks == (10, 0), context.tasks
    assert b"requests_pipelined" not in context.metrics


@when(
    'a caller of a product node sends "{targets}" and closes its sending side'
)
def step_half_close_pipeline(context: Context, targets: str) -> None:
    async def run_scenario(world: HttpWorld) -> list[RawResponse]:
        caller = await world.connect("b1")
        context.targets = targets.split(", ")
        requests = [make_request("GET", target) for target in context.targets]
        await caller.send(b"".join(requests))
        await caller.stream.send_eof()
        started = trio.current_time()
        responses = await _receive_all(caller)
        context.seconds = trio.current_time() - started
        return responses

    context.responses = run_http_world(run_scenario)


@then(
    "it receives {count:d} responses in order within {limit:g} s, and the"
    " connection ends"
)
def step_half_closed(context: Context, count: int, limit: float) -> None:
    bodies = [response.body.decode() for response in context.responses]
    assert bodies == context.targets and len(bodies) == count, bodies
    assert context.seconds <= limit, context.seconds
