import json

import trio
from behave import then, when
from behave.runner import Context

from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.raw_caller import RawAnswer


@when("an upstream sends unasked bytes after an answer, then gets a request")
def step_extra(context: Context) -> None:
    async def script(world: HttpWorld) -> list[RawAnswer | None]:
        answers = [
            await world.ask(make_request("GET", target))
            for target in ("/extra", "/own")
        ]
        context.most_open = world.upstream.most_open
        return answers

    context.answers = run_http_world(script)


@then("the next request gets its own answer on another connection")
def step_own(context: Context) -> None:
    assert [a.body for a in context.answers] == [b"first", b"/own"]
    assert context.answers[1].complete


@when(
    "{count:d} requests run at once with {slots:d} slots and"
    " {connections:d} connections"
)
def step_many(
    context: Context, count: int, slots: int, connections: int
) -> None:
    async def script(world: HttpWorld) -> None:
        async def ask(index: int) -> None:
            request = make_request("GET", f"/slow/0.{index % 9}", X=str(index))
            context.answers.append(await world.ask(request))

        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(ask, index)
        context.most_open = world.upstream.most_open

    context.answers = []
    run_http_world(script, {"slots": 1, "connections": connections}, slots)


@then(
    "all are answered and the upstream never has more than {limit:d}"
    " connections"
)
def step_limited(context: Context, limit: int) -> None:
    assert {answer.status for answer in context.answers} == {200}
    assert 1 < context.most_open <= limit, context.most_open


@when('the upstream refuses a request of node "{node}" as not run')
def step_refuse(context: Context, node: str) -> None:
    async def script(world: HttpWorld) -> RawAnswer | None:
        answer = await world.ask(make_request("GET", "/refuse"), node)
        context.runs = len(world.upstream.heads)
        return answer

    context.answer = run_http_world(script)


@then('the caller gets 503 with outcome "{outcome}"')
def step_refused(context: Context, outcome: str) -> None:
    assert context.answer.status == 503, context.answer
    assert context.answer.headers["rhubarbpaddle-outcome"] == outcome
    assert json.loads(context.answer.body)["code"] == "upstream_refused"
    assert context.runs == 1


@when("the idle connections go silent while one slow request runs")
def step_silence(context: Context) -> None:
    async def script(world: HttpWorld) -> None:
        async def ask_slowly() -> None:
            context.slow = await world.ask(make_request("GET", "/slow/2.5"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_slowly)
            await trio.sleep(0.1)
            async with trio.open_nursery() as others:
                for _ in range(4):
                    request = make_request("GET", "/slow/0.5")
                    others.start_soon(world.ask, request)
            world.cluster.fabric.silence("b1", "b1", skipped=1)
            request = make_request("GET", "/x", Rhubarbpaddle_Timeout_Ms="1000")
            context.answers = [await world.ask(request) for _ in range(2)]

    run_http_world(script, {"timeout_ms": 3000})


@then("one request times out, the next succeeds and the slow one too")
def step_silent(context: Context) -> None:
    statuses = [answer.status for answer in context.answers]
    assert statuses == [504, 200], context.answers
    assert context.slow.status == 200, context.slow


@when("requests time out and others follow on the same connections")
def step_late(context: Context) -> None:
    async def script(world: HttpWorld) -> None:
        caller = await world.connect("a1")
        for target in ("/slow/0.5", "/slow/3", "/a", "/slow/2", "/b"):
            await caller.send(make_request("GET", target))
            answer = await caller.receive()
            context.answers.append((target, answer))

    context.answers = []
    run_http_world(script, {"timeout_ms": 1000})


@then("each request gets its own answer or a refusal")
def step_own_answers(context: Context) -> None:
    for target, answer in context.answers:
        expected = 504 if target in ("/slow/3", "/slow/2") else 200
        assert answer.status == expected, (target, answer)
        assert expected == 504 or answer.body.decode() == target
