import json

from behave import then, when
from behave.runner import Context
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.raw_caller import RawResponse

_VALID = make_request("POST", "/echo", b"abcd", X_Name="value")
_CORRUPTIONS = st.lists(
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


@when("a caller sends {count:d} bytes of an endless head")
def step_send_long_head(context: Context, count: int) -> None:
    _send(context, b"GET / HTTP/1.1\r\nX: " + b"x" * count)


@when('a caller sends a chunk whose size is written "{size}"')
def step_send_chunk(context: Context, size: str) -> None:
    head = make_request("POST", "/echo", Transfer_Encoding="chunked")
    chunk = size.replace("^", "\n").encode()
    _send(context, head + chunk + b"\r\nabcd\r\n0\r\n\r\n")


@when('a caller ends a chunked body with "{end}"')
def step_send_chunked_end(context: Context, end: str) -> None:
    head = make_request("POST", "/echo", Transfer_Encoding="chunked")
    tail = end.replace("~", "\r\n").replace("^", "\n").encode()
    _send(context, head + b"4\r\nabcd\r\n" + tail)


@then("it is refused with status {status:d} and reaches no upstream")
def step_refused(context: Context, status: int) -> None:
    assert context.response is not None
    assert context.response.status == status, context.response
    problem = json.loads(context.response.body)
    assert problem["status"] == status
    assert "Traceback" not in problem["detail"]
    assert context.upstream.heads == []


@then("no upstream receives a complete body")
def step_no_complete_body(context: Context) -> None:
    assert context.response is not None and context.response.status == 400
    assert context.upstream.bodies == {}


@then("corrupted requests receive a complete response or a refusal with a code")
def step_corrupted_requests(context: Context) -> None:
    @settings(max_examples=60)
    @given_examples(_CORRUPTIONS)
    def check(corruptions: list[tuple[int, int, bytes]]) -> None:
        data = _VALID
        for position, removed, added in corruptions:
            data = data[:position] + added + data[position + removed :]
        _send(context, data)
        response = context.response
        if response is None:
            return
        assert response.complete, (data, response)
        assert b"Traceback" not in response.body
        assert response.status != 500, (data, response)
        if response.status >= 400:
            assert json.loads(response.body)["code"], (data, response)

    check()


def _send(context: Context, data: bytes) -> None:
    async def run_scenario(world: HttpWorld) -> RawResponse | None:
        context.upstream = world.upstream
        return await world.request(data, half_close=True)

    context.response = run_http_world(run_scenario)
