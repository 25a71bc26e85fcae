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
from features.support.raw_caller import RawAnswer, RawCaller
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import BytesBody, Request
from rhubarbpaddle.membership import MemberStatus
from rhubarbpaddle.node import Node

_DOWNLOAD_BYTES = 4_000_000
_HALF = 20_000


class Stop:
    """A shutdown in progress; `took` and `completed` are its result."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.took = math.inf
        self.completed: bool | None = None
        self.ended = trio.Event()

    async def run(self) -> None:
        started = trio.current_time()
        self.completed = await self.node.shut_down()
        self.took = trio.current_time() - started
        self.ended.set()


def begin_stop(world: HttpWorld) -> Stop:
    stop = Stop(world.cluster.nodes["b1"])
    world.nursery.start_soon(stop.run)
    return stop


async def ask(
    world: HttpWorld, answers: list[RawAnswer | None], node: str, target: str
) -> None:
    answers.append(await world.ask(make_request("GET", target), node))


async def start_work(
    world: HttpWorld, work: str, answers: list[RawAnswer | None]
) -> RawCaller | None:
    """Starts the work; returns a connection whose answer is read later."""
    match work:
        case "an exchange of another gateway":
            world.nursery.start_soon(ask, world, answers, "a1", "/slow/5")
        case "a queued request":
            for _ in range(2):
                world.nursery.start_soon(ask, world, answers, "b1", "/slow/3")
        case "an upload":
            caller = await world.connect()
            head = make_request("PUT", "/echo", Content_Length=str(2 * _HALF))
            await caller.send(head + b"x" * _HALF)
            return caller
        case "a long download":
            caller = await world.connect()
            target = f"/stream/{_DOWNLOAD_BYTES}"
            await caller.send(make_request("GET", target))
            return caller
    return None


@when('a node shuts down during "{work}"')
def step_during(context: Context, work: str) -> None:
    async def script(world: HttpWorld) -> None:
        answers: list[RawAnswer | None] = []
        caller = await start_work(world, work, answers)
        await trio.sleep(1)
        stop = begin_stop(world)
        await trio.sleep(3.5)
        context.ended_early = stop.ended.is_set()
        if caller is not None:
            if work == "an upload":
                await caller.send(b"x" * _HALF)
            answers.append(await caller.receive())
            await caller.stream.aclose()
        with trio.fail_after(10):
            await stop.ended.wait()
        world.cluster.stop_node("b1")
        # The other gateway passes on what the node sent before its exit.
        await trio.sleep(0.1)
        context.answers, context.stop = answers, stop

    run_http_world(script, slots=1)


@then("all answers are complete and the shutdown waits for them")
def step_complete(context: Context) -> None:
    assert not context.ended_early, context.answers
    assert context.stop.completed is True, context.stop.took
    assert context.answers
    for answer in context.answers:
        assert answer is not None and answer.complete, answer
        assert answer.status == 200, answer


@when("a node shuts down while a caller does not read its download")
def step_unread(context: Context) -> None:
    async def script(world: HttpWorld) -> None:
        caller = await world.connect()
        target = f"/stream/{_DOWNLOAD_BYTES}"
        await caller.send(make_request("GET", target))
        await trio.sleep(1)
        context.stop = begin_stop(world)
        with trio.move_on_after(60):
            await context.stop.ended.wait()

    run_http_world(script)


@then("the shutdown gives up after 30 s and reports that it cut work off")
def step_bounded(context: Context) -> None:
    assert context.stop.completed is False
    assert 29.9 < context.stop.took < 30.1, context.stop.took


@when("a node shuts down while callers hold idle connections")
def step_idle(context: Context) -> None:
    async def script(world: HttpWorld) -> None:
        answers: list[RawAnswer | None] = []
        used, idle = await world.connect(), await world.connect()
        for caller in (used, idle):
            await caller.send(make_request("GET", "/x"))
            await caller.receive()
        # Held by another gateway's exchange, the node outlasts the notice.
        world.nursery.start_soon(ask, world, answers, "a1", "/slow/6")
        await trio.sleep(1)
        context.stop = begin_stop(world)
        await trio.sleep(0.5)
        host: Mapping[str, str] = {"host": "b1"}
        ready = await world.cluster.request("b1:3", "GET", "/readyz", host, b"")
        context.ready = ready.status
        await used.send(make_request("GET", "/x"))
        context.notice = [
            await used.receive(),
            await world.ask(make_request("GET", "/x"), "b1"),
        ]
        await idle.receive()
        context.idle_seconds = trio.current_time()
        await trio.sleep(0.5)
        context.late = await world.ask(make_request("GET", "/late"), "b1")
        context.bodies = world.upstream.bodies
        await context.stop.ended.wait()

    run_http_world(script)


@then("readiness fails and answers within the notice close the connection")
def step_notice(context: Context) -> None:
    assert context.ready == 503
    for answer in context.notice:
        # The sidecar of a leaving node takes no new work, so a request that
        # only its upstream could answer is refused.
        assert answer.status == 503 and answer.complete, answer
        assert answer.headers["rhubarbpaddle-outcome"] == "not-run"
        assert answer.headers["connection"] == "close"


@then("idle connections end after the notice and a late request is not run")
def step_idle_ended(context: Context) -> None:
    # 3 s to settle, 1 s before the shutdown, 2 s of notice.
    assert 5.9 < context.idle_seconds < 6.1, context.idle_seconds
    assert context.late.status == 503
    assert context.late.headers["rhubarbpaddle-outcome"] == "not-run"
    assert context.late.headers["connection"] == "close"
    assert "/late" not in context.bodies
    assert context.stop.completed is True


@when("a node with an upstream leaves while requests go on elsewhere")
def step_leaves(context: Context) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            zones: dict[str, object] = {"a": {}, "b": {}, "c": {}}
            text = {"services": {"lanes": {}}, "availability_zones": zones}
            cluster.publish(text, base=0)
            for name in ("a1", "b1", "c1"):
                await cluster.start_node(name, name[0])
            for name in ("b1", "c1"):
                await cluster.start_upstream(name, "lanes")
            await trio.sleep(3)
            stop = Stop(cluster.nodes["b1"])
            nursery.start_soon(stop.run)
            await trio.lowlevel.checkpoint()
            before = cluster.upstreams["b1"].runs.total()
            context.statuses = Counter[int]()
            for index in range(60):
                node = ("a1", "c1", "b1")[index % (3 if index < 30 else 2)]
                answer = await cluster.send(node, "lanes", target=f"/{index}")
                context.statuses[answer.status] += 1
                if index == 10:
                    member = cluster.nodes["a1"].table.get("b1")
                    assert member is not None
                    context.member_status = member.status
                await trio.sleep(0.05)
            context.new_runs = cluster.upstreams["b1"].runs.total() - before
            context.refusal = await call_sidecar(cluster)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


async def call_sidecar(cluster: Cluster) -> RefusedError | None:
    request = Request(
        request_id="r",
        tenant="default",
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
def step_elsewhere(context: Context) -> None:
    assert context.statuses == {200: 60}, context.statuses
    assert context.new_runs == 0
    assert context.member_status is MemberStatus.LEAVING


@then("a call that still arrives is refused as not run and may be retried")
def step_refused(context: Context) -> None:
    assert context.refusal.code == "node_leaving"
    assert context.refusal.outcome == "not-run"
    assert context.refusal.may_retry
