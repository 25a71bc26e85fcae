import json

import trio
from behave import then, when
from behave.runner import Context

from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.raw_caller import RawResponse


@when("an upstream sends extra bytes after a response, then receives a request")
def step_extra_bytes(context: Context) -> None:
    async def run_scenario(world: HttpWorld) -> list[RawResponse | None]:
        responses = [
            await world.request(make_request("GET", target))
            for target in ("/extra", "/own")
        ]
        context.max_open = world.upstream.max_open_connections
        return responses

    context.responses = run_http_world(run_scenario)


@then("the next request receives its own response on another connection")
def step_own_connection(context: Context) -> None:
    assert [r.body for r in context.responses] == [b"first", b"/own"]
    assert context.responses[1].complete


@when(
    "{count:d} requests run at once with {slots:d} slots and"
    " {connections:d} connections"
)
def step_concurrent_requests(
    context: Context, count: int, slots: int, connections: int
) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        async def send_request(index: int) -> None:
            request = make_request("GET", f"/slow/0.{index % 9}", X=str(index))
            context.responses.append(await world.request(request))

        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(send_request, index)
        context.max_open = world.upstream.max_open_connections

    context.responses = []
    run_http_world(
        run_scenario, {"slots": 1, "connections": connections}, slots
    )


@then(
    "all receive a response and the upstream never has more than {limit:d}"
    " connections"
)
def step_connections_limited(context: Context, limit: int) -> None:
    assert {response.status for response in context.responses} == {200}
    assert 1 < context.max_open <= limit, context.max_open


@when('the upstream refuses a request of node "{node}" as not run')
def step_refuse(context: Context, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> RawResponse | None:
        response = await world.request(make_request("GET", "/refuse"), node)
        context.runs = len(world.upstream.heads)
        return response

    context.response = run_http_world(run_scenario)


@then('the caller receives 503 with outcome "{outcome}"')
def step_refused(context: Context, outcome: str) -> None:
    assert context.response.status == 503, context.response
    assert context.response.headers["rhubarbpaddle-outcome"] == outcome
    assert json.loads(context.response.body)["code"] == "upstream_refused"
    assert context.runs == 1


@when("the idle connections go silent while one slow request runs")
def step_idle_silent(context: Context) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        async def send_slow_request() -> None:
            context.slow = await world.request(make_request("GET", "/slow/2.5"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_slow_request)
            await trio.sleep(0.1)
            async with trio.open_nursery() as others:
                for _ in range(4):
                    request = make_request("GET", "/slow/0.5")
                    others.start_soon(world.request, request)
            world.cluster.fabric.silence("b1", "b1", skipped=1)
            request = make_request("GET", "/x", Rhubarbpaddle_Timeout_Ms="1000")
            context.responses = [await world.request(request) for _ in range(2)]

    run_http_world(run_scenario, {"timeout_ms": 3000})


@then("one request times out, the next succeeds and so does the slow one")
def step_one_timeout(context: Context) -> None:
    statuses = [response.status for response in context.responses]
    assert statuses == [504, 200], context.responses
    assert context.slow.status == 200, context.slow


@when("requests time out and others follow on the same connections")
def step_late_responses(context: Context) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        caller = await world.connect("a1")
        for target in ("/slow/0.5", "/slow/3", "/a", "/slow/2", "/b"):
            await caller.send(make_request("GET", target))
            response = await caller.receive()
            context.responses.append((target, response))

    context.responses = []
    run_http_world(run_scenario, {"timeout_ms": 1000})


@then("each request receives its own response or a refusal")
def step_own_responses(context: Context) -> None:
    for target, response in context.responses:
        expected = 504 if target in ("/slow/3", "/slow/2") else 200
        assert response.status == expected, (target, response)
        assert expected == 504 or response.body.decode() == target
