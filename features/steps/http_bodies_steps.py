import contextlib
import hashlib

import trio
from behave import then, when
from behave.runner import Context

from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.raw_caller import RawAnswer

_PART = 70_000


@when('a caller uploads {count:d} bytes in "{framing}" to node "{node}"')
def step_upload(context: Context, count: int, framing: str, node: str) -> None:
    content = hashlib.shake_256(b"seed").digest(count)
    context.content = content

    async def script(world: HttpWorld) -> RawAnswer | None:
        caller = await world.connect(node)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, caller)
            answer = await caller.receive()
        context.received = world.upstream.bodies["/echo"]
        return answer

    async def send(caller) -> None:  # type: ignore[no-untyped-def]
        if framing == "one":
            await caller.send(make_request("PUT", "/echo", content))
            return
        await caller.send(
            make_request("PUT", "/echo", Transfer_Encoding="chunked")
        )
        for start in range(0, count, _PART):
            part = content[start : start + _PART]
            await caller.send(b"%x\r\n%s\r\n" % (len(part), part))
        await caller.send(b"0\r\n\r\n")

    context.answer = run_http_world(script)


@then("the upstream got the same bytes and the caller got them back")
def step_same(context: Context) -> None:
    assert context.received == context.content
    assert context.answer.body == context.content
    assert context.answer.complete


@when('a caller stops reading a download of {count:d} bytes from node "{node}"')
def step_download(context: Context, count: int, node: str) -> None:
    async def script(world: HttpWorld) -> None:
        caller = await world.connect(node)
        await caller.send(make_request("GET", f"/stream/{count}"))
        await trio.sleep(20)
        context.held = world.upstream.sent
        answer = await caller.receive()
        assert answer is not None and answer.complete
        assert len(answer.body) == count

    run_http_world(script)


@then("the upstream is held back below {count:d} bytes until it reads on")
def step_held(context: Context, count: int) -> None:
    assert 0 < context.held < count, context.held


@when('the upstream cuts its answer to a caller of node "{node}"')
def step_cut(context: Context, node: str) -> None:
    async def script(world: HttpWorld) -> RawAnswer | None:
        return await world.ask(make_request("GET", "/cut"), node)

    context.answer = run_http_world(script)


@then("the caller sees that the answer is cut")
def step_sees_cut(context: Context) -> None:
    answer = context.answer
    assert answer is None or not answer.complete or answer.status == 502, answer


@when('the upstream answers 413 before it has read an upload to node "{node}"')
def step_reject(context: Context, node: str) -> None:
    async def script(world: HttpWorld) -> list[RawAnswer | None]:
        caller = await world.connect(node)
        head = make_request("PUT", "/reject", Content_Length="5000000")
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, caller, head + bytes(4_000_000))
            answers.append(await caller.receive())
            answers.append(await caller.receive())
        return answers

    async def send(caller, data: bytes) -> None:  # type: ignore[no-untyped-def]
        with contextlib.suppress(trio.BrokenResourceError):
            await caller.send(data)

    context.answers = run_http_world(script)


@then("the caller gets 413 and its connection ends")
def step_rejected(context: Context) -> None:
    first, second = context.answers
    assert first is not None and first.status == 413, first
    assert first.complete and second is None


@when(
    "a caller uploads for {seconds:d} seconds with a deadline of"
    " {deadline:d} seconds"
)
def step_slow_upload(context: Context, seconds: int, deadline: int) -> None:
    async def script(world: HttpWorld) -> list[RawAnswer | None]:
        answers = []
        for target in ("/echo", "/slow/5"):
            caller = await world.connect("a1")
            await caller.send(
                make_request("PUT", target, Transfer_Encoding="chunked")
            )
            for _ in range(seconds):
                await trio.sleep(1)
                await caller.send(b"1\r\nx\r\n")
            await caller.send(b"0\r\n\r\n")
            answers.append(await caller.receive())
        return answers

    context.answers = run_http_world(script, {"timeout_ms": deadline * 1000})


@then("the upload succeeds, and a slow answer after it does not")
def step_slow_succeeds(context: Context) -> None:
    first, second = context.answers
    assert first.status == 200 and first.body == b"x" * 20, first
    assert second.status == 504, second
