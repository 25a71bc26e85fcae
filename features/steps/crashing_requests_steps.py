import json

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st
from trio.testing import MockClock

from features.support.cluster import Cluster
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.crash_record import CrashRecord
from rhubarbpaddle.execution.crash_suspects import CrashSuspects
from rhubarbpaddle.execution.crash_update import CrashUpdate
from rhubarbpaddle.execution.fingerprint import make_fingerprint

_NAMES = ("a", "b", "c")
_CONFIGURATION = {
    "services": {
        "lanes": {"slots": 6, "timeout_ms": 2000, "key_required": False}
    },
    "availability_zones": {name: {} for name in _NAMES},
}
_CRASH = make_fingerprint("POST", "/crash", "lanes", BytesBody(b""))


async def _start(nursery: trio.Nursery) -> Cluster:
    cluster = Cluster(nursery)
    await cluster.start_log()
    cluster.publish(_CONFIGURATION, base=0)
    for name in _NAMES:
        await cluster.start_node(name, name)
    ledgers = [node.crashes for node in cluster.nodes.values()]
    for ledger in ledgers:
        for other in ledgers:
            if other is not ledger:
                ledger.add_listener(other.merge)
    await trio.sleep(1)
    for name in _NAMES:
        upstream = await cluster.start_upstream(name, "lanes")
        upstream.on_crash = lambda name=name: cluster.crash_upstream(name)
    await trio.sleep(1)
    return cluster


@given('three nodes whose upstreams crash on "/crash"')
def step_nodes(context: Context) -> None:
    context.crashed = 0


@when(
    'a caller sends "/crash" to each node in turn'
    ' while others request "/availability"'
)
def step_crash(context: Context) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = await _start(nursery)

            async def request_repeatedly(node: str) -> None:
                while True:
                    await cluster.send(node, "lanes", target="/availability")
                    await trio.sleep(0.01)

            for name in _NAMES:
                nursery.start_soon(request_repeatedly, name)
            await trio.sleep(2)
            context.responses = [
                await cluster.send(name, "lanes", "POST", "/crash")
                for name in _NAMES
            ]
            context.crashed = sum(
                upstream.runs["POST /crash"]
                for upstream in cluster.upstreams.values()
            )
            # The leases of the two crashed upstreams expire.
            await trio.sleep(2)
            context.other_responses = [
                await cluster.send(name, "lanes", target="/availability")
                for name in _NAMES
            ]
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("{count:d} upstreams crashed")
def step_crashed(context: Context, count: int) -> None:
    assert context.crashed == count, context.crashed


@then(
    "the first 2 outcomes are unknown and the third is refused as"
    ' "suspected_crash"'
)
def step_outcomes(context: Context) -> None:
    outcomes = [
        response.headers["rhubarbpaddle-outcome"]
        for response in context.responses
    ]
    assert outcomes == ["unknown", "unknown", "not-run"], context.responses
    code = json.loads(context.responses[2].body)["code"]
    assert code == "suspected_crash"


@then('requests for "/availability" still succeed')
def step_others_succeed(context: Context) -> None:
    statuses = [response.status for response in context.other_responses]
    assert statuses == [200, 200, 200], context.other_responses


@when("an upstream crashes and restarts before it is checked")
def step_quick_restart(context: Context) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = await _start(nursery)
            for name in _NAMES:

                def crash(name: str = name) -> None:
                    cluster.fabric.reset_connections(name, name)
                    cluster.incarnations[name] += 1

                cluster.upstreams[name].on_crash = crash
            await cluster.send("a", "lanes", "POST", "/crash")
            await trio.sleep(2)
            updates = cluster.nodes["a"].crashes.get_updates()
            context.crash_counts = {
                update.fingerprint: len(update.crashes) for update in updates
            }
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the crash count of the request is {count:d}")
def step_crash_count(context: Context, count: int) -> None:
    assert context.crash_counts == {_CRASH: count}, context.crash_counts


@given("a request with a recent response and one without")
def step_two_requests(context: Context) -> None:
    context.event = None


@when("both are in flight at {count:d} crashes")
def step_crashes(context: Context, count: int) -> None:
    async def run() -> None:
        ledger = CrashLedger("a", VirtualClock())
        suspects = CrashSuspects(ledger, VirtualClock())
        ledger.record_response("frequent")
        for incarnation in range(count):
            suspects.add("frequent", incarnation)
            suspects.add(_CRASH, incarnation)
            suspects.confirm_crash(incarnation)
            # Its broken connection is detected after the crash.
            suspects.add("frequent", incarnation)
            suspects.confirm_crash(incarnation)
        context.blocked = [
            name for name in ("frequent", _CRASH) if ledger.is_blocked(name)
        ]

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("only the request without a response is blocked")
def step_only_blocked(context: Context) -> None:
    assert context.blocked == [_CRASH], context.blocked


@given("a request with a recent response")
def step_recent_response(context: Context) -> None:
    context.event = None


@when("it is in flight at one crash on each of {count:d} nodes")
def step_crash_on_each(context: Context, count: int) -> None:
    _run_crashes(context, nodes=count, crashes=1)


@when("it is in flight at {count:d} crashes")
def step_repeated_crashes(context: Context, count: int) -> None:
    _run_crashes(context, nodes=1, crashes=count)


def _run_crashes(context: Context, nodes: int, crashes: int) -> None:
    async def run() -> None:
        ledgers = [CrashLedger(f"n{i}", VirtualClock()) for i in range(nodes)]
        for ledger in ledgers:
            ledger.record_response("frequent")
            for other in ledgers:
                if other is not ledger:
                    ledger.add_listener(other.merge)
        for ledger in ledgers:
            suspects = CrashSuspects(ledger, VirtualClock())
            for incarnation in range(crashes):
                suspects.add("frequent", incarnation)
                suspects.confirm_crash(incarnation)
        context.is_blocked = ledgers[0].is_blocked("frequent")

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("it is not blocked")
def step_unblocked(context: Context) -> None:
    assert not context.is_blocked


@then("it is blocked")
def step_blocked(context: Context) -> None:
    assert context.is_blocked


@given("two ledgers that exchange updates")
def step_ledgers(context: Context) -> None:
    context.event = None


@when("both record a crash of a request and one records a response")
def step_response(context: Context) -> None:
    context.event = "response"


@when("both record a crash of a request and 5 min pass")
def step_expires(context: Context) -> None:
    context.event = "expiry"


@then("neither of them blocks the request")
def step_not_blocked(context: Context) -> None:
    async def run() -> None:
        ledgers = [CrashLedger(name, VirtualClock()) for name in "ab"]
        ledgers[0].add_listener(ledgers[1].merge)
        ledgers[1].add_listener(ledgers[0].merge)
        for ledger in ledgers:
            ledger.record_crash(_CRASH)
        assert [ledger.is_blocked(_CRASH) for ledger in ledgers] == [True] * 2
        if context.event == "response":
            ledgers[1].record_response(_CRASH)
        else:
            await trio.sleep(299)
            assert ledgers[0].is_blocked(_CRASH)
            await trio.sleep(2)
        assert [ledger.is_blocked(_CRASH) for ledger in ledgers] == [False] * 2

    trio.run(run, clock=MockClock(autojump_threshold=0))


_records = st.builds(CrashRecord, st.sampled_from("abc"), st.integers(1, 3))
_updates = st.builds(
    lambda sequence, crashes: (sequence, tuple(sorted(crashes))),
    st.integers(0, 2),
    st.sets(_records, min_size=1, max_size=3),
)


@then("updates merged repeatedly in any order give equal ledgers")
def step_convergence(context: Context) -> None:
    @hypothesis_given(st.lists(_updates, max_size=6), st.randoms())
    def check(contents: list[tuple[int, tuple[CrashRecord, ...]]], rng) -> None:  # type: ignore[no-untyped-def]
        async def run() -> None:
            clock = VirtualClock()
            now = int(clock.now().timestamp() * 1_000_000)
            updates = [
                CrashUpdate(
                    "x", sequence, crashes, now + crashes[-1].recorded_at
                )
                for sequence, crashes in contents
            ]
            first = CrashLedger("1", clock)
            second = CrashLedger("2", clock)
            for update in updates:
                first.merge(update)
            shuffled = updates * 2
            rng.shuffle(shuffled)
            for update in shuffled:
                second.merge(update)
            assert first.get_updates() == second.get_updates()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    check()
