import json

from behave import then, when
from behave.runner import Context
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.raw_caller import RawAnswer

_VALID = make_request("POST", "/echo", b"abcd", X_Name="value")
_DAMAGE = st.lists(
    st.tuples(
        st.integers(0, len(_VALID)),
        st.integers(0, 3),
        st.sampled_from([b"\n", b"\r", b"\0", b" ", b":", b"\xff", b"0\r\n"])
        | st.binary(max_size=3),
    ),
    min_size=1,
    max_size=3,
)


@when('a caller sends the head "{head}"')
def step_send_head(context: Context, head: str) -> None:
    data = head.replace("~", "\r\n").replace("^", "\n").encode()
    _send(context, data)


@when("a caller sends a head of {count:d} bytes without an end")
def step_send_long_head(context: Context, count: int) -> None:
    _send(context, b"GET / HTTP/1.1\r\nX: " + b"x" * count)


@when('a caller sends a chunk whose size is written "{size}"')
def step_send_chunk(context: Context, size: str) -> None:
    head = make_request("POST", "/echo", Transfer_Encoding="chunked")
    chunk = size.replace("^", "\n").encode()
    _send(context, head + chunk + b"\r\nabcd\r\n0\r\n\r\n")


@when('a caller ends its chunks with "{end}"')
def step_send_end(context: Context, end: str) -> None:
    head = make_request("POST", "/echo", Transfer_Encoding="chunked")
    tail = end.replace("~", "\r\n").replace("^", "\n").encode()
    _send(context, head + b"4\r\nabcd\r\n" + tail)


@then("it is refused with status {status:d} and no upstream sees it")
def step_refused(context: Context, status: int) -> None:
    assert context.answer is not None
    assert context.answer.status == status, context.answer
    problem = json.loads(context.answer.body)
    assert problem["status"] == status
    assert "Traceback" not in problem["detail"]
    assert context.upstream.heads == []


@then("no upstream gets a whole body")
def step_no_body(context: Context) -> None:
    assert context.answer is not None and context.answer.status == 400
    assert context.upstream.bodies == {}


@then("damaged requests are refused or reach the upstream whole")
def step_damaged(context: Context) -> None:
    @settings(max_examples=60)
    @given_examples(_DAMAGE)
    def check(damage: list[tuple[int, int, bytes]]) -> None:
        data = _VALID
        for position, removed, added in damage:
            data = data[:position] + added + data[position + removed :]
        _send(context, data)
        answer = context.answer
        if answer is None:
            return
        assert answer.complete, (data, answer)
        assert b"Traceback" not in answer.body
        assert answer.status != 500, (data, answer)
        if answer.status >= 400:
            assert json.loads(answer.body)["code"], (data, answer)

    check()


def _send(context: Context, data: bytes) -> None:
    async def script(world: HttpWorld) -> RawAnswer | None:
        context.upstream = world.upstream
        return await world.ask(data, end=True)

    context.answer = run_http_world(script)
