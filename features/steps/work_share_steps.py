import contextlib

import h11
import trio
from behave import then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.deferred_steps import defer_step
from features.support.iteration_count import IterationCount
from features.support.memory_pipe import MemoryPipe
from features.support.memory_source import MemorySource
from features.support.memory_stream import MemoryStream
from features.support.raw_caller import RawCaller
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.exceptions import TruncatedError
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.http.request_responder import (
    RequestResponder,
    ShortResponse,
)
from rhubarbpaddle.membership import Member, MemberTable, StoreAccessTable
from rhubarbpaddle.membership.member_status import MemberStatus
from rhubarbpaddle.peer.configuration_requests import ConfigurationRequests
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.control_link import ControlLink
from rhubarbpaddle.peer.messages import (
    BodyChunk,
    Heartbeat,
    MemberUpdate,
    Message,
)
from rhubarbpaddle.peer.versioned_text import VersionedText
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.work_share import WorkShare


class _NoConfiguration:
    """A node without a configuration."""

    def get_accepted(self) -> VersionedText | None:
        return None

    def get_first_era(self) -> int:
        return 0

    def adopt_text(self, version: StateVersion, text: str, as_of: int) -> bool:
        return False


_REQUEST = b"GET / HTTP/1.1\r\nhost: -\r\n\r\n"


@when(
    "a connection causes {work:g} ms of work every {interval:g} ms for"
    " {seconds:g} s"
)
def step_charge(
    context: Context, work: float, interval: float, seconds: float
) -> None:
    share = WorkShare()
    now = 1000.0
    end = now + seconds
    context.work_ms, context.has_waited = 0.0, False
    while now < end:
        share.charge(work / 1000, now)
        wait = share.get_wait(now)
        context.work_ms += work
        context.has_waited = context.has_waited or wait > 0
        now += max(wait, interval / 1000)


@then("it has caused at most {total:g} ms of work and has waited {waits}")
def step_check_work(context: Context, total: float, waits: str) -> None:
    assert context.work_ms <= total, context.work_ms
    assert context.has_waited == (waits == "often")


async def _encode(messages: list[Message]) -> bytes:
    pipe = MemoryPipe(lambda: False)
    data = b""
    sender = PeerConnection(MemoryStream(pipe, pipe), "-")
    for message in messages:
        await sender.send(message)
        data += await pipe.read(None)
    return data


@when("{count:d} heartbeats of a node are received from memory")
def step_receive(context: Context, count: int) -> None:
    async def run() -> None:
        data = await _encode([Heartbeat(1, 1)]) * count
        conn = PeerConnection(MemorySource(data), "-")
        context.counts = IterationCount()
        trio.lowlevel.add_instrument(context.counts)
        started_at = trio.current_time()
        for _ in range(count):
            await conn.receive()
        context.elapsed = trio.current_time() - started_at

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    "receiving took at least {seconds:g} s and other tasks ran at least"
    " {passes:d} times"
)
def step_check_received(context: Context, seconds: float, passes: int) -> None:
    assert context.elapsed >= seconds, context.elapsed
    assert context.counts.iterations >= passes, context.counts.iterations


@when("{count:d} messages are received with waits of at most {ms:d} ms")
def step_receive_cancelled(context: Context, count: int, ms: int) -> None:
    async def run() -> None:
        sent = [BodyChunk("1", b"%d" % number) for number in range(count)]
        conn = PeerConnection(MemorySource(await _encode([*sent])), "-")
        received: list[Message] = []
        started_at = trio.current_time()
        while len(received) < count:
            with trio.move_on_after(ms / 1000):
                received.append(await conn.receive())
        context.is_equal = received == sent
        context.elapsed = trio.current_time() - started_at

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("all messages arrived in order, over at least {seconds:g} s")
def step_check_order(context: Context, seconds: float) -> None:
    assert context.is_equal
    assert context.elapsed >= seconds, context.elapsed


def _make_member(name: str) -> Member:
    address = "127.0.0.1:1"
    return Member(
        name, 1, 1, MemberStatus.ALIVE, name, "a", address, address, None
    )


@when("a neighbour sends a message with {count:d} members")
def step_send_members(context: Context, count: int) -> None:
    context.expected = count + 1

    async def run() -> None:
        counts = context.counts = IterationCount()
        table = MemberTable(_make_member("own"))
        members = [_make_member(f"n{number}") for number in range(count)]
        update = MemberUpdate.from_members(members)
        pipe = MemoryPipe(lambda: False)
        conn = PeerConnection(MemoryStream(pipe, pipe), "-")
        data = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.send, update)
            while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4]):
                data += await pipe.read(None)
        clock = VirtualClock()

        def is_valid_address(address: str) -> bool:
            counts.add()
            return True

        link = ControlLink(
            PeerConnection(MemorySource(data), "-"),
            "n0",
            table,
            _NoConfiguration(),
            ConfigurationRequests(clock),
            clock,
            CrashLedger("own", clock),
            is_valid_address,
            StoreAccessTable(table),
            RolloutBoard(table),
        )
        trio.lowlevel.add_instrument(counts)
        # The stream ends behind the message.
        with contextlib.suppress(TruncatedError):
            await link.run()
        context.members = len(table)

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    "all of them are merged, at most {most:d} in an iteration of the event loop"
)
def step_check_members(context: Context, most: int) -> None:
    assert context.members == context.expected, context.members
    assert context.counts.most <= most, context.counts.most


def _answer(context: Context, requests: int, connections: int) -> None:
    async def run() -> None:
        counts = context.counts = IterationCount()

        async def respond(head: h11.Request, content: bytes) -> ShortResponse:
            counts.add()
            return 200, b"text/plain", b"ok\n"

        responder = RequestResponder(respond)
        trio.lowlevel.add_instrument(counts)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(connections):
                source = MemorySource(_REQUEST * requests)
                nursery.start_soon(responder.handle, source)
        context.elapsed = trio.current_time() - started_at

    trio.run(run, clock=MockClock(autojump_threshold=0))


@when(
    "{count:d} requests of one connection to a responder are read from memory"
)
def step_answer_one(context: Context, count: int) -> None:
    _answer(context, count, 1)


@when("{count:d} connections to a responder send a request at the same time")
def step_answer_many(context: Context, count: int) -> None:
    _answer(context, 1, count)


@then(
    "answering took at least {seconds:g} s, at most {most:d} in an iteration of"
    " the event loop"
)
def step_check_answered(context: Context, seconds: float, most: int) -> None:
    assert context.elapsed >= seconds, context.elapsed
    assert context.counts.most <= most, context.counts.most


@when("{count:d} connections to a responder send a request and stay open")
def step_stay_open(context: Context, count: int) -> None:
    async def respond(head: h11.Request, content: bytes) -> ShortResponse:
        return 200, b"text/plain", b"ok\n"

    async def run() -> None:
        responder = RequestResponder(respond)
        context.answered, context.open = 0, count

        async def serve(inward: MemoryPipe, outward: MemoryPipe) -> None:
            await responder.handle(MemoryStream(outward, inward))
            context.open -= 1

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                inward, outward = (MemoryPipe(lambda: False) for _ in range(2))
                nursery.start_soon(serve, inward, outward)
                await inward.write(_REQUEST)
                response = await outward.read(None)
                context.answered += response.startswith(b"HTTP/1.1 200")
            await trio.sleep(1)
            context.remaining = context.open
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("each got its response, and {count:d} remain open")
def step_check_open(context: Context, count: int) -> None:
    assert context.answered == 200, context.answered
    assert context.remaining == count, context.remaining


@when("a caller sends {count:d} requests without a route at once")
def step_send_refused(context: Context, count: int) -> None:
    async def run() -> None:
        world = context.world
        caller = RawCaller(await world.fabric.connect("caller", "h1:2"))
        head = b"GET /none HTTP/1.1\r\nhost: unknown.example\r\n\r\n"
        started_at = trio.current_time()
        context.statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.send, head * count)
            for _ in range(count):
                response = await caller.receive()
                assert response is not None, context.statuses
                context.statuses.append(response.status)
        context.elapsed = trio.current_time() - started_at

    defer_step(context, run)


@then("all of them get {status:d}, over at least {seconds:g} s")
def step_check_refused(context: Context, status: int, seconds: float) -> None:
    async def run() -> None:
        assert set(context.statuses) == {status}, context.statuses
        assert context.elapsed >= seconds, context.elapsed

    defer_step(context, run)
