import math
from collections import Counter
from collections.abc import Mapping

import trio
import trio.lowlevel
from behave import then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.cluster import Cluster
from features.support.http_world import (
    HttpWorld,
    make_request,
    run_http_world,
)
from features.support.raw_caller import RawCaller, RawResponse
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import BytesBody, Request
from rhubarbpaddle.membership import MemberStatus
from rhubarbpaddle.node.node import Node

_DOWNLOAD_BYTES = 4_000_000
_HALF_UPLOAD_BYTES = 20_000


class ShutdownRun:
    """Runs the shutdown of a node and records its result.

    Attributes:
        node: The node.
        seconds: How long the shutdown took.
        completed: The result of `Node.shut_down`, or None while it runs.
        ended: Set when the shutdown has ended.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.seconds = math.inf
        self.completed: bool | None = None
        self.ended = trio.Event()

    async def run(self) -> None:
        """Shuts the node down."""
        started = trio.current_time()
        self.completed = await self.node.shut_down()
        self.seconds = trio.current_time() - started
        self.ended.set()


def start_shutdown(world: HttpWorld) -> ShutdownRun:
    """Starts the shutdown of node `b1` in the background."""
    shutdown = ShutdownRun(world.cluster.nodes["b1"])
    world.nursery.start_soon(shutdown.run)
    return shutdown


async def send_request(
    world: HttpWorld,
    responses: list[RawResponse | None],
    node: str,
    target: str,
) -> None:
    """Sends a request and appends its response to a list."""
    responses.append(await world.request(make_request("GET", target), node))


async def start_work(
    world: HttpWorld, work: str, responses: list[RawResponse | None]
) -> RawCaller | None:
    """Starts the requests that a row of the examples names.

    Returns:
        The connection whose response is still to be read, or None.
    """
    match work:
        case "an exchange of another gateway":
            world.nursery.start_soon(
                send_request, world, responses, "a1", "/slow/5"
            )
        case "a queued request":
            for _ in range(2):
                world.nursery.start_soon(
                    send_request, world, responses, "b1", "/slow/3"
                )
        case "an upload":
            caller = await world.connect()
            head = make_request(
                "PUT", "/echo", Content_Length=str(2 * _HALF_UPLOAD_BYTES)
            )
            await caller.send(head + b"x" * _HALF_UPLOAD_BYTES)
            return caller
        case "a long download":
            caller = await world.connect()
            target = f"/stream/{_DOWNLOAD_BYTES}"
            await caller.send(make_request("GET", target))
            return caller
    return None


@when('a node shuts down during "{work}"')
def step_shut_down_during(context: Context, work: str) -> None:
    async def run(world: HttpWorld) -> None:
        responses: list[RawResponse | None] = []
        caller = await start_work(world, work, responses)
        await trio.sleep(1)
        shutdown = start_shutdown(world)
        await trio.sleep(3.5)
        context.ended_early = shutdown.ended.is_set()
        if caller is not None:
            if work == "an upload":
                await caller.send(b"x" * _HALF_UPLOAD_BYTES)
            responses.append(await caller.receive())
            await caller.stream.aclose()
        with trio.fail_after(10):
            await shutdown.ended.wait()
        world.cluster.stop_node("b1")
        # The other gateway forwards what the node sent before its exit.
        await trio.sleep(0.1)
        context.responses, context.shutdown = responses, shutdown

    run_http_world(run, slots=1)


@then("all responses are complete and the shutdown waits for them")
def step_responses_complete(context: Context) -> None:
    assert not context.ended_early, context.responses
    assert context.shutdown.completed is True, context.shutdown.seconds
    assert context.responses
    for response in context.responses:
        assert response is not None and response.complete, response
        assert response.status == 200, response


@when("a node shuts down while a caller does not read its download")
def step_shut_down_during_unread_download(context: Context) -> None:
    async def run(world: HttpWorld) -> None:
        caller = await world.connect()
        target = f"/stream/{_DOWNLOAD_BYTES}"
        await caller.send(make_request("GET", target))
        await trio.sleep(1)
        context.shutdown = start_shutdown(world)
        with trio.move_on_after(60):
            await context.shutdown.ended.wait()

    run_http_world(run)


@then("the shutdown ends after 30 s and reports that it interrupted work")
def step_shutdown_interrupts_work(context: Context) -> None:
    assert context.shutdown.completed is False
    assert 29.9 < context.shutdown.seconds < 30.1, context.shutdown.seconds


@when("a node shuts down while callers hold idle connections")
def step_shut_down_with_idle_connections(context: Context) -> None:
    async def run(world: HttpWorld) -> None:
        responses: list[RawResponse | None] = []
        used, idle = await world.connect(), await world.connect()
        for caller in (used, idle):
            await caller.send(make_request("GET", "/x"))
            await caller.receive()
        # The exchange of another gateway keeps the node from exiting within
        # the notice period.
        world.nursery.start_soon(
            send_request, world, responses, "a1", "/slow/6"
        )
        await trio.sleep(1)
        context.shutdown = start_shutdown(world)
        await trio.sleep(0.5)
        headers: Mapping[str, str] = {"host": "b1"}
        readiness = await world.cluster.request(
            "b1:3", "GET", "/readyz", headers, b""
        )
        context.readiness_status = readiness.status
        await used.send(make_request("GET", "/x"))
        context.notice_responses = [
            await used.receive(),
            await world.request(make_request("GET", "/x"), "b1"),
        ]
        await idle.receive()
        context.idle_closed_at = trio.current_time()
        await trio.sleep(0.5)
        context.late_response = await world.request(
            make_request("GET", "/late"), "b1"
        )
        context.bodies = world.upstream.bodies
        await context.shutdown.ended.wait()

    run_http_world(run)


@then(
    "readiness fails and responses within the notice period close the "
    "connection"
)
def step_notice_responses(context: Context) -> None:
    assert context.readiness_status == 503
    for response in context.notice_responses:
        # The sidecar of a leaving node accepts no new work, so a request that
        # only its upstream could run is refused.
        assert response.status == 503 and response.complete, response
        assert response.headers["rhubarbpaddle-outcome"] == "not-run"
        assert response.headers["connection"] == "close"


@then(
    "idle connections end after the notice period and a late request is not run"
)
def step_idle_connections_closed(context: Context) -> None:
    # 3 s to settle, 1 s before the shutdown, 2 s of notice period.
    assert 5.9 < context.idle_closed_at < 6.1, context.idle_closed_at
    assert context.late_response.status == 503
    assert context.late_response.headers["rhubarbpaddle-outcome"] == "not-run"
    assert context.late_response.headers["connection"] == "close"
    assert "/late" not in context.bodies
    assert context.shutdown.completed is True


@when("a node with an upstream leaves while requests continue")
def step_node_leaves(context: Context) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            zones: dict[str, object] = {"a": {}, "b": {}, "c": {}}
            document = {"services": {"lanes": {}}, "availability_zones": zones}
            cluster.publish(document, base=0)
            for name in ("a1", "b1", "c1"):
                await cluster.start_node(name, name[0])
            for name in ("b1", "c1"):
                await cluster.start_upstream(name, "lanes")
            await trio.sleep(3)
            shutdown = ShutdownRun(cluster.nodes["b1"])
            nursery.start_soon(shutdown.run)
            await trio.lowlevel.checkpoint()
            runs_before = cluster.upstreams["b1"].runs.total()
            context.statuses = Counter[int]()
            for index in range(60):
                node = ("a1", "c1", "b1")[index % (3 if index < 30 else 2)]
                response = await cluster.send(node, "lanes", target=f"/{index}")
                context.statuses[response.status] += 1
                if index == 10:
                    member = cluster.nodes["a1"].table.get("b1")
                    assert member is not None
                    context.member_status = member.status
                await trio.sleep(0.05)
            context.new_runs = (
                cluster.upstreams["b1"].runs.total() - runs_before
            )
            context.refusal = await call_sidecar(cluster)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


async def call_sidecar(cluster: Cluster) -> RefusedError | None:
    """Calls the sidecar of node `b1`; returns its refusal, if any."""
    request = Request(
        request_id="r",
        organisation="default",
        service="lanes",
        method=b"GET",
        target=b"/x",
        headers=[],
        deadline=cluster.clock.monotonic() + 5,
        idempotent=True,
    )
    sidecar = cluster.nodes["b1"].sidecar
    assert sidecar.upstream is not None
    summary = sidecar.upstream.summary
    try:
        async with sidecar.handle(
            request, BytesBody(b""), summary.instance, summary.incarnation
        ):
            return None
    except RefusedError as exc:
        return exc


@then("all of them succeed on other instances")
def step_succeed_elsewhere(context: Context) -> None:
    assert context.statuses == {200: 60}, context.statuses
    assert context.new_runs == 0
    assert context.member_status is MemberStatus.LEAVING


@then("a call that still arrives is refused as not run and may be retried")
def step_call_refused(context: Context) -> None:
    assert context.refusal.code == "node_leaving"
    assert context.refusal.outcome == "not-run"
    assert context.refusal.may_retry
