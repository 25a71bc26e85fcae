import re

import trio
from behave import then, when
from behave.runner import Context

from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.raw_caller import RawResponse

_HEADERS = {
    "Connection": "keep-alive, X-Private",
    "X-Private": "1",
    "Keep-Alive": "timeout=5",
    "TE": "trailers",
    "X-Forwarded-For": "198.51.100.7",
    "Rhubarbpaddle-Depth": "4",
    "Rhubarbpaddle-Attempt": "2",
    "Rhubarbpaddle-Timeout-Ms": "700",
    "Rhubarbpaddle-Tenant": "club",
    "Idempotency-Key": "key-1",
}


@when('a caller pipelines requests for "{targets}" to node "{node}"')
def step_pipeline(context: Context, targets: str, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> list[RawResponse | None]:
        caller = await world.connect(node)
        names = targets.split(", ")
        await caller.send(b"".join(make_request("GET", t) for t in names))
        return [await caller.receive() for _ in names]

    context.responses = run_http_world(run_scenario)


@then('it receives the responses to "{targets}" in this order')
def step_responses_in_order(context: Context, targets: str) -> None:
    bodies = [response.body.decode() for response in context.responses]
    assert bodies == targets.split(", "), bodies


@when('a caller of node "{node}" expects 100 Continue')
def step_expect_continue(context: Context, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        head = make_request(
            "PUT", "/echo/1", Expect="100-continue", Content_Length="4"
        )
        # The only slot is in use, so the upload has to wait for it.
        world.nursery.start_soon(
            world.request, make_request("GET", "/slow/5"), "b1"
        )
        await trio.sleep(1)
        caller = await world.connect(node)
        await caller.send(head)
        with trio.move_on_after(3):
            context.early = await caller.stream.receive_some()
        context.interim = bytes(await caller.stream.receive_some())
        await caller.send(b"abcd")
        context.response = await caller.receive()
        refused = await world.connect(node)
        await refused.send(head.replace(b"Host: lanes", b"Host: nobody"))
        context.refusal = await refused.receive()

    context.early = None
    run_http_world(run_scenario, slots=1)


@then("it receives 100 when its request is admitted, but not if it is refused")
def step_continue_received(context: Context) -> None:
    assert context.early is None, context.early
    assert context.interim.startswith(b"HTTP/1.1 100"), context.interim
    assert context.response.body == b"abcd", context.response
    assert context.refusal.status == 404
    assert context.refusal.interim == []


@when(
    'a caller of node "{node}" sends a request, closes its sending side'
    " and waits"
)
def step_half_close(context: Context, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> RawResponse | None:
        return await world.request(
            make_request("GET", "/slow/5"), node, half_close=True
        )

    context.response = run_http_world(run_scenario)


@then("it receives its response")
def step_response_received(context: Context) -> None:
    assert context.response.status == 200, context.response
    assert set(context.response.interim) == {100}


@when('a caller of node "{node}" disconnects while its request runs')
def step_disconnect(context: Context, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> list[str]:
        caller = await world.connect(node)
        await caller.send(make_request("GET", "/slow/5"))
        await trio.sleep(1)
        await caller.stream.aclose()
        await trio.sleep(1)
        return list(world.upstream.disconnected_paths)

    context.disconnected_paths = run_http_world(run_scenario)


@then("the request's connection to the upstream is closed within a second")
def step_upstream_closed(context: Context) -> None:
    assert context.disconnected_paths == ["/slow/5"], context.disconnected_paths


@when("callers send nothing, half a head, and half a body")
def step_slow_callers(context: Context) -> None:
    starts = [
        b"",
        b"GET / HTTP/1.1\r\n",
        make_request("PUT", "/echo", Content_Length="4") + b"ab",
    ]

    async def run_scenario(world: HttpWorld) -> list[tuple[str, float]]:
        ends = []
        for start in starts:
            started = trio.current_time()
            response = await world.request(start)
            status = str(response.status) if response else "none"
            ends.append((status, trio.current_time() - started))
        return ends

    context.ends = run_http_world(run_scenario)


@then(
    'their connections are closed with status "{statuses}" after "{seconds}" s'
)
def step_closed_after(context: Context, statuses: str, seconds: str) -> None:
    expected = [float(value) for value in seconds.split(", ")]
    assert [end[0] for end in context.ends] == statuses.split(", ")
    for end, limit in zip(context.ends, expected, strict=True):
        assert limit <= end[1] < limit + 1, context.ends


@when("{count:d} callers wait for their next request")
def step_idle_callers(context: Context, count: int) -> None:
    async def run_scenario(world: HttpWorld) -> list[int]:
        callers = [await world.connect() for _ in range(count)]
        await trio.sleep(1)
        return [
            index
            for index, caller in enumerate(callers)
            if caller.stream.incoming.has_input()  # type: ignore[attr-defined]
        ]

    context.closed = run_http_world(run_scenario)


@then("the {count:d} that have been idle longest are closed")
def step_longest_idle_closed(context: Context, count: int) -> None:
    assert context.closed == list(range(count)), context.closed


@when("a node drains while one caller waits for a response and one is idle")
def step_drain(context: Context) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        idle, busy = await world.connect(), await world.connect()
        await busy.send(make_request("GET", "/slow/3"))
        await trio.sleep(1)
        world.cluster.nodes["b1"].drain_callers()
        started = trio.current_time()
        context.idle = await idle.receive()
        context.idle_seconds = trio.current_time() - started
        context.busy = await busy.receive()
        context.next = await busy.receive()

    run_http_world(run_scenario)


@then("the idle connection is closed at once, the other after its response")
def step_drained(context: Context) -> None:
    assert context.idle is None and context.idle_seconds < 0.1
    assert context.busy.status == 200 and context.busy.complete
    assert context.busy.headers["connection"] == "close"
    assert context.next is None


@when(
    'a caller sends hop-by-hop, forwarding and control headers to node "{node}"'
)
def step_headers(context: Context, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> RawResponse | None:
        lines = "".join(f"{k}: {v}\r\n" for k, v in _HEADERS.items())
        request = f"GET http://lanes.test/x HTTP/1.1\r\nHost: o\r\n{lines}\r\n"
        response = await world.request(request.encode(), node)
        context.head = world.upstream.heads[-1]
        return response

    context.response = run_http_world(run_scenario)


@then("hop-by-hop headers are removed and the others are updated")
def step_headers_updated(context: Context) -> None:
    headers = {k.decode(): v.decode() for k, v in context.head.headers}
    for name in ("connection", "x-private", "keep-alive", "te"):
        assert name not in headers, headers
    assert context.head.target == b"/x"
    assert headers["host"] == "lanes.test"
    assert headers["x-forwarded-for"] == "198.51.100.7, 192.0.2.1"
    assert headers["x-forwarded-proto"] == "http"
    assert headers["via"] == "1.1 rhubarbpaddle"
    assert headers["rhubarbpaddle-depth"] == "5"
    assert headers["rhubarbpaddle-attempt"] == "2"
    assert headers["idempotency-key"] == "key-1"
    assert 0 < int(headers["rhubarbpaddle-timeout-ms"]) <= 700
    assert context.response.headers["via"] == "1.1 rhubarbpaddle"


@when('callers of organisations "{organisations}" send requests')
def step_organisations(context: Context, organisations: str) -> None:
    async def run_scenario(world: HttpWorld) -> str:
        for organisation in organisations.split(", "):
            await world.request(
                make_request("GET", "/x", Rhubarbpaddle_Tenant=organisation)
            )
        response = await world.cluster.request(
            "b1:3", "GET", "/metrics", {"host": "b1"}, b""
        )
        return response.body.decode()

    context.metrics = run_http_world(run_scenario)


@then('the metrics have the organisation labels "{organisations}"')
def step_organisation_labels(context: Context, organisations: str) -> None:
    names = set(re.findall(r'tenant="([^"]*)"', context.metrics))
    assert names == set(organisations.split(", ")), names
