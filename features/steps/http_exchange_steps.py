import contextlib
import json

import trio
import trio.testing
from behave import then, when
from behave.runner import Context
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from features.support.host_network import HostNetwork
from features.support.http_world import HttpWorld, make_request, run_http_world
from features.support.memory_pipe import MemoryPipe
from features.support.memory_stream import MemoryStream
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.messages import BodyChunk, KeepAlive
from rhubarbpaddle.stream_watch import StreamWatch
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork
from rhubarbpaddle.tcp_stream import TcpStream


@then("a message that arrives in two reads around a cancelled wait is received")
def step_split_frame(context: Context) -> None:
    async def run() -> None:
        pipe = MemoryPipe(lambda: False)
        sender = PeerConnection(MemoryStream(pipe, pipe), "-")
        await sender.send(BodyChunk("1", b"content"), KeepAlive())
        frames = await pipe.read(None)
        for split_at in range(1, len(frames)):
            pipe = MemoryPipe(lambda: False)
            receiver = PeerConnection(MemoryStream(pipe, pipe), "-")
            messages = []
            for fragment in (frames[:split_at], frames[split_at:]):
                await pipe.write(fragment)
                with trio.move_on_after(0.01):
                    while True:
                        messages.append(await receiver.receive())
            assert messages == [BodyChunk("1", b"content"), KeepAlive()]

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@when(
    '{callers:d} callers of node "{node}" send {count:d} requests each, one'
    " after another"
)
def step_reuse_connections(
    context: Context, callers: int, node: str, count: int
) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        async def run(index: int) -> None:
            caller = await world.connect(node)
            for number in range(count):
                target = f"/{index}-{number}"
                await caller.send(make_request("GET", target))
                response = await caller.receive()
                assert response is not None
                context.pairs.append((target, response.body.decode()))

        async with trio.open_nursery() as nursery:
            for index in range(callers):
                nursery.start_soon(run, index)

    context.pairs = []
    context.total = callers * count
    run_http_world(run_scenario, slots=64)


@then("each receives the responses to its own requests")
def step_own_responses(context: Context) -> None:
    assert len(context.pairs) == context.total
    for target, body in context.pairs:
        assert target == body, (target, body)


@then("a node closes the connection of a peer that sends malformed frames")
def step_malformed_frames(context: Context) -> None:
    @settings(max_examples=30)
    @given_examples(st.binary(min_size=1, max_size=60), st.booleans())
    def check(content: bytes, framed: bool) -> None:
        length = len(content).to_bytes(4, "big") if framed else b""

        async def run_scenario(world: HttpWorld) -> None:
            identity = PeerIdentity("test", "other", 1, b"secret")
            network = HostNetwork(world.cluster.fabric, "other")
            connector = PeerConnector(network, identity)
            conn = await connector.connect("b1:2", "exchange")
            await conn.stream.send_all(length + content)
            with contextlib.suppress(trio.BrokenResourceError):
                await conn.stream.send_eof()  # type: ignore[attr-defined]
            with trio.fail_after(5):
                assert not await conn.stream.receive_some()
            response = await world.request(make_request("GET", "/x"), "a1")
            assert response is not None and response.status == 200

        run_http_world(run_scenario)

    check()


@when(
    'a caller of node "{node}" sends a request that takes {seconds:d} seconds'
)
def step_long_request(context: Context, node: str, seconds: int) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        request = make_request("GET", f"/slow/{seconds}")
        context.response = await world.request(request, node)

    run_http_world(run_scenario)


@then("the caller receives the response")
def step_response_received(context: Context) -> None:
    assert context.response.status == 200, context.response


@when("the node beside the instance goes silent while a request runs")
def step_node_silent(context: Context) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        async def silence() -> None:
            await trio.sleep(0.5)
            world.cluster.fabric.silence("a1", "b1")

        world.nursery.start_soon(silence)
        started = trio.current_time()
        request = make_request("POST", "/slow/9")
        context.response = await world.request(request, "a1")
        context.elapsed = trio.current_time() - started

    run_http_world(run_scenario, {"key_required": False})


@then(
    'the caller receives 502 "{code}" with outcome "{outcome}" within'
    " {seconds:d} seconds"
)
def step_peer_lost(
    context: Context, code: str, outcome: str, seconds: int
) -> None:
    assert context.response.status == 502, context.response
    assert json.loads(context.response.body)["code"] == code
    assert context.response.headers["rhubarbpaddle-outcome"] == outcome
    assert context.elapsed < seconds


@when("callers half-close and close TCP connections while they wait")
def step_tcp_callers(context: Context) -> None:
    network = TcpNetwork()
    watch = StreamWatch(network, SystemClock())

    async def handle(accepted: trio.SocketStream) -> None:
        conn = ServerConnection(TcpStream(accepted), "-")
        received = await conn.receive_request()
        assert received is not None
        target = received[0].target.decode()
        watch.add(conn, conn.scope)
        with conn.scope:
            await trio.sleep(0.6)
        watch.remove(conn)
        context.cancelled[target] = conn.scope.cancelled_caught

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, handle, listeners)
            nursery.start_soon(watch.run)
            callers = []
            for target in ("/waits", "/half-closes", "/closes"):
                caller = await trio.open_tcp_stream("127.0.0.1", port)
                await caller.send_all(make_request("GET", target))
                callers.append(caller)
            await trio.sleep(0.1)
            await callers[1].send_eof()
            await callers[2].aclose()
            await trio.sleep(1)
            nursery.cancel_scope.cancel()

    context.cancelled = {}
    trio.run(run)


@then("only the work of the caller that closed its connection is cancelled")
def step_only_closed_cancelled(context: Context) -> None:
    expected = {"/waits": False, "/half-closes": False, "/closes": True}
    assert context.cancelled == expected, context.cancelled


@when(
    "the idle connections go silent and {seconds:d} seconds pass without a"
    " request"
)
def step_idle_connections_silent(context: Context, seconds: int) -> None:
    async def run_scenario(world: HttpWorld) -> None:
        request = make_request("GET", "/x")
        await world.request(request, "a1")
        world.cluster.fabric.silence("a1", "b1")
        world.cluster.fabric.silence("b1", "b1")
        await trio.sleep(seconds)
        started = trio.current_time()
        context.response = await world.request(request, "a1")
        context.elapsed = trio.current_time() - started

    run_http_world(run_scenario)


@then("the next caller receives its response within {seconds:d} second")
def step_response_soon(context: Context, seconds: int) -> None:
    assert context.response.status == 200, context.response
    assert context.elapsed <= seconds, context.elapsed
