import contextlib
import hashlib

import trio
from behave import then, when
from behave.runner import Context

from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.raw_caller import RawResponse

_CHUNK_BYTES = 70_000


@when('a caller uploads {count:d} bytes in "{framing}" to node "{node}"')
def step_upload(context: Context, count: int, framing: str, node: str) -> None:
    content = hashlib.shake_256(b"seed").digest(count)
    context.content = content

    async def run_scenario(world: HttpWorld) -> RawResponse | None:
        caller = await world.connect(node)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, caller)
            response = await caller.receive()
        context.received = world.upstream.bodies["/echo"]
        return response

    async def send(caller) -> None:  # type: ignore[no-untyped-def]
        if framing == "one write":
            await caller.send(make_request("PUT", "/echo", content))
            return
        await caller.send(
            make_request("PUT", "/echo", Transfer_Encoding="chunked")
        )
        for start in range(0, count, _CHUNK_BYTES):
            chunk = content[start : start + _CHUNK_BYTES]
            await caller.send(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        await caller.send(b"0\r\n\r\n")

    context.response = run_http_world(run_scenario)


@then("the upstream receives the same bytes and so does the caller")
def step_same_bytes(context: Context) -> None:
    assert context.received == context.content
    assert context.response.body == context.content
    assert context.response.complete


@when('a caller stops reading a download of {count:d} bytes from node "{node}"')
def step_stop_reading(context: Context, count: int, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        caller = await world.connect(node)
        await caller.send(make_request("GET", f"/stream/{count}"))
        await trio.sleep(20)
        context.sent_bytes = world.upstream.sent_bytes
        response = await caller.receive()
        assert response is not None and response.complete
        assert len(response.body) == count

    run_http_world(run_scenario)


@then("the upstream sends less than {count:d} bytes until the caller reads on")
def step_backpressure(context: Context, count: int) -> None:
    assert 0 < context.sent_bytes < count, context.sent_bytes


@when('the upstream truncates its response to a caller of node "{node}"')
def step_truncate(context: Context, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> RawResponse | None:
        return await world.request(make_request("GET", "/truncate"), node)

    context.response = run_http_world(run_scenario)


@then("the caller detects that the response is truncated")
def step_truncation_detected(context: Context) -> None:
    response = context.response
    assert (
        response is None or not response.complete or response.status == 502
    ), response


@when(
    'the upstream responds with 413 before it reads an upload to node "{node}"'
)
def step_early_response(context: Context, node: str) -> None:
    async def run_scenario(world: HttpWorld) -> list[RawResponse | None]:
        caller = await world.connect(node)
        head = make_request("PUT", "/reject", Content_Length="5000000")
        responses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, caller, head + bytes(4_000_000))
            responses.append(await caller.receive())
            responses.append(await caller.receive())
        return responses

    async def send(caller, data: bytes) -> None:  # type: ignore[no-untyped-def]
        with contextlib.suppress(trio.BrokenResourceError):
            await caller.send(data)

    context.responses = run_http_world(run_scenario)


@then("the caller receives 413 and its connection is closed")
def step_upload_refused(context: Context) -> None:
    first, second = context.responses
    assert first is not None and first.status == 413, first
    assert first.complete and second is None


@when(
    "a caller uploads for {seconds:d} seconds with a deadline of"
    " {deadline:d} seconds"
)
def step_slow_upload(context: Context, seconds: int, deadline: int) -> None:
    async def run_scenario(world: HttpWorld) -> list[RawResponse | None]:
        responses = []
        for target in ("/echo", "/slow/5"):
            caller = await world.connect("a1")
            await caller.send(
                make_request("PUT", target, Transfer_Encoding="chunked")
            )
            for _ in range(seconds):
                await trio.sleep(1)
                await caller.send(b"1\r\nx\r\n")
            await caller.send(b"0\r\n\r\n")
            responses.append(await caller.receive())
        return responses

    context.responses = run_http_world(
        run_scenario, {"timeout_ms": deadline * 1000}
    )


@then("the upload succeeds, but a slow response to an upload times out")
def step_slow_upload_succeeds(context: Context) -> None:
    first, second = context.responses
    assert first.status == 200 and first.body == b"x" * 20, first
    assert second.status == 504, second
