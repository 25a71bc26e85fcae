import json
import random
from datetime import timedelta
from typing import NamedTuple

import msgspec
import trio
from behave import given, then, when
from behave.runner import Context

from bench.rollout_detector import list_cases, simulate
from features.support.host_network import HostNetwork
from features.support.platform_world import (
    SERVICE,
    SETTLE_SECONDS,
    STORE_ADDRESS,
    PlatformWorld,
    make_configuration,
    run_platform_world,
)
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.measuring import EvidenceKind
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    StoreAccess,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.peer.messages import MemberUpdate
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
)
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.platform.store_configuration_state import (
    StoreConfigurationState,
)
from rhubarbpaddle.rollout.count_report import CountReport
from rhubarbpaddle.rollout.exposure_credit import ExposureCredit
from rhubarbpaddle.rollout.instance_version import UNKNOWN_VERSION
from rhubarbpaddle.rollout.latency_buckets import get_bucket
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.response_counter import ResponseCounter
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_order import RolloutOrder
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.route_counts import RouteCounts
from rhubarbpaddle.rollout.version_comparison import VersionComparison
from rhubarbpaddle.rollout.version_counts import VersionCounts
from rhubarbpaddle.rollout.version_table import VersionTable


def _make_member(
    node_id: str, version: str, start: int, number: int = 1
) -> Member:
    return Member(
        node_id=node_id,
        incarnation=1,
        version=number,
        status=MemberStatus.ALIVE,
        host=node_id,
        availability_zone="a",
        peer_address=f"{node_id}:1",
        admin_address=f"{node_id}:3",
        upstream=UpstreamSummary(
            SERVICE, f"i-{node_id}", start, UpstreamState.WARM, 6, version
        ),
    )


@given("{count:d} gateways that each get {requests:d} requests")
def step_gateways(context: Context, count: int, requests: int) -> None:
    context.gateways = count
    context.requests = requests


def _send(context: Context, share: float, first_costs: list[float]) -> None:
    context.sent = 0
    for first_cost in first_costs:
        credit = ExposureCredit(share, first_cost)
        for _ in range(context.requests):
            credit.earn()
            if credit.can_spend():
                credit.spend()
                context.sent += 1


@when("each may send {share:g} of them to the target version")
def step_send_share(context: Context, share: float) -> None:
    rng = random.Random(1)
    _send(context, share, [rng.random() for _ in range(context.gateways)])


@when("each may send {share:g} of them to the target version without a slack")
def step_send_strictly(context: Context, share: float) -> None:
    _send(context, share, [1.0] * context.gateways)


@then("{count:d} requests are sent there, give or take {slack:d}")
def step_check_sent(context: Context, count: int, slack: int) -> None:
    assert abs(context.sent - count) <= slack, context.sent


@then("no request is sent there")
def step_check_not_sent(context: Context) -> None:
    assert context.sent == 0, context.sent


def _make_notice(phase: str, order: int) -> PhaseNotice:
    return PhaseNotice(SERVICE, order, RolloutPhase[phase], "v2")


@given("a node that knows phase {phase} of order {order:d}")
def step_known_phase(context: Context, phase: str, order: int) -> None:
    context.board = RolloutBoard(MemberTable(_make_member("n1", "v2", 1)))
    assert context.board.merge(_make_notice(phase, order))


@when("it learns of phase {phase} of order {order:d}")
def step_learn_phase(context: Context, phase: str, order: int) -> None:
    context.board.merge(_make_notice(phase, order), "peer")


@then("it regards phase {phase} of order {order:d} as the newest")
def step_check_phase(context: Context, phase: str, order: int) -> None:
    notice = context.board.get_notice(SERVICE)
    assert notice == _make_notice(phase, order), notice


@when("reports with 10, 30 and 20 responses arrive, the last one late")
def step_reports(context: Context) -> None:
    for sequence, responses in ((1, 10), (3, 30), (2, 20)):
        counts = RouteCounts("r", responses, 0, ())
        report = CountReport(
            "n1", 1, sequence, SERVICE, 5, "v2", "a", (counts,)
        )
        context.board.merge(report, "peer")


@then("{count:d} responses are counted")
def step_check_responses(context: Context, count: int) -> None:
    reports = context.board.get_reports(SERVICE, 5)
    total = VersionCounts.from_reports(reports).count_responses()
    assert total == count, total


@then("no reports are kept")
def step_check_no_reports(context: Context) -> None:
    assert not context.board.get_reports(SERVICE, 5)


@when(
    'the comparison runs {runs:d} times on "{name}" with {rate:d} requests a'
    " second"
)
def step_simulate(context: Context, runs: int, name: str, rate: int) -> None:
    case = next(case for case in list_cases() if case.name == name)
    results = [simulate(case, rate, 9.0, seed) for seed in range(runs)]
    context.stopped = sum(run.stopped for run in results)


@then("it stops the version {count:d} times")
def step_check_stopped(context: Context, count: int) -> None:
    assert context.stopped == count, context.stopped


def _make_counts(responses: int, failures: int) -> VersionCounts:
    counts = RouteCounts("r", responses, failures, ())
    return VersionCounts({("a", "r"): counts})


@given("a comparison that has seen 1000 good responses")
def step_comparison(context: Context) -> None:
    context.comparison = VersionComparison()
    verdict = context.comparison.evaluate(
        _make_counts(80, 0), _make_counts(920, 0), 2.0
    )
    assert not verdict.is_bad


@when("both versions fail all requests, which the target reports 0.9 s earlier")
def step_skewed_reports(context: Context) -> None:
    later = (_make_counts(100, 20), _make_counts(920, 0))
    both = (_make_counts(100, 20), _make_counts(1150, 230))
    context.verdicts = [
        context.comparison.evaluate(*counts, now)
        for counts, now in ((later, 2.25), (later, 3.15), (both, 3.25))
    ]
    # The evidence would suffice without the reports of the old version.
    assert context.verdicts[0].log_evidence > 10, context.verdicts[0]


@then("the target version is never regarded as bad")
def step_check_never_bad(context: Context) -> None:
    assert not any(verdict.is_bad for verdict in context.verdicts)
    assert not context.verdicts[-1].is_suspicious, context.verdicts[-1]


@given("a store whose topic has grown since it was read")
def step_grown_topic(context: Context) -> None:
    context.topic = "keyed.status"


@when("a node appends on the condition of the earlier end")
def step_append_at(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(None)
        client = StoreClient(HostNetwork(world.fabric, "h1"), STORE_ADDRESS)
        newest = await client.read_newest(context.topic)
        end, era = newest.end, newest.era
        world.store.put(context.topic, "k", b"other")
        context.results = [
            await client.put_at(context.topic, "k", b"late", end, era),
            await client.put_at(context.topic, "k", b"new", end + 1, era),
        ]
        records = world.store.list_records(context.topic, "k")
        context.values = [record.value for record in records]

    run_platform_world(scenario)


@then("the append has no effect and the node knows it")
def step_check_append(context: Context) -> None:
    assert context.results == [False, True], context.results
    assert context.values == [b"other", b"new"], context.values


@given("an instance whose responses are counted")
def step_counter(context: Context) -> None:
    context.counter = ResponseCounter(VirtualClock())


@when("a response takes {seconds:g} s {condition}")
def step_count(context: Context, seconds: float, condition: str) -> None:
    async def run_step() -> None:
        factors = {
            "with a slowdown factor of 4": 4.0,
            "during the cold start": None,
        }
        factor = factors.get(condition, 1.0)
        status = 500 if condition == "and its status is 500" else 200
        request = context.counter.start("r", factor)
        request.record_response(status, seconds)
        if condition == "while 5 more are lost by a crash":
            for _ in range(5):
                lost = context.counter.start("r", factor)
                lost.record_error(EvidenceKind.LOST, seconds)

    trio.run(run_step)


@then(
    "{count:d} responses count, {failures:d} as failures, with latency"
    " {latency}"
)
def step_check_counts(
    context: Context, count: int, failures: int, latency: str
) -> None:
    (counts,) = context.counter.get_counts()
    latencies: tuple[tuple[int, int], ...] = ()
    if latency != "none":
        seconds = int(latency.removesuffix(" ms")) / 1000
        latencies = ((get_bucket(seconds), 1),)
    assert counts == RouteCounts("r", count, failures, latencies), counts


@given("a state with an order that was read {seconds:g} s ago")
def step_state(context: Context, seconds: float) -> None:
    order = RolloutOrder(SERVICE, "v2", timedelta(seconds=12), 7)
    document = json.dumps(make_configuration())
    context.state = StoreConfigurationState(
        StateVersion(1, 8),
        document,
        parse_configuration_document(document),
        (ObservedOrder(order, 100.0 - seconds, True),),
    )


@when("another node adopts its text {seconds:g} s later")
def step_adopt(context: Context, seconds: float) -> None:
    text = context.state.get_text(100.0 + seconds)
    # Monotonic times of different nodes have different starts.
    context.adopted = StoreConfigurationState.from_text(
        text, StateVersion(1, 8), 2000.0
    )


@then("that node knows the order since {seconds:g} s")
def step_check_age(context: Context, seconds: float) -> None:
    (entry,) = context.adopted.orders
    assert entry.order == context.state.orders[0].order
    assert abs(2000.0 - entry.observed_at - seconds) < 0.01, entry


@given("a store with a configuration and the order {order}")
def step_invalid_order(context: Context, order: str) -> None:
    context.order_text = order


@when("a node reads the store")
def step_read_store(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        value = context.order_text.encode()
        world.store.put("keyed.op", f"rollout/{SERVICE}", value)
        await world.start_host("h1")
        await trio.sleep(SETTLE_SECONDS)
        context.node = world.nodes["h1"]

    run_platform_world(scenario)


@then("the configuration is in force without orders")
def step_check_no_orders(context: Context) -> None:
    assert context.node.configuration.get_version() == 2
    assert context.node.configuration.get_orders() == ()


@given('instances of "v1" that started before those of "v2"')
def step_versions(context: Context) -> None:
    context.members = MemberTable(_make_member("b1", "v1", 1_000))
    context.versions = VersionTable(
        context.members, VirtualClock(), lambda zone: True
    )

    async def run_step() -> None:
        context.members.update_own()
        context.members.merge(_make_member("b2", "v1", 2_000))
        context.members.merge(_make_member("c1", "v2", 3_000))

    trio.run(run_step)


def _replace_old(context: Context, **changes: object) -> None:
    async def run_step() -> None:
        _replace_members(context, **changes)

    trio.run(run_step)


def _replace_members(context: Context, **changes: object) -> None:
    for node_id in ("b1", "b2"):
        member = context.members.get(node_id)
        upstream = member.upstream._replace(**changes)
        if node_id == "b1":
            context.members.update_own(upstream=upstream)
        else:
            changed = member._replace(version=9, upstream=upstream)
            context.members.merge(changed)


@when('all instances of "v1" start again')
def step_restart_instances(context: Context) -> None:
    _replace_old(context, incarnation=4_000)


@when('the nodes beside all instances of "v1" start again')
def step_restart_nodes(context: Context) -> None:
    _replace_old(context, incarnation=1, version=UNKNOWN_VERSION)


@when('an instance of "v2" has a lower node id')
def step_lower_id(context: Context) -> None:
    async def run_step() -> None:
        context.members.merge(_make_member("a1", "v2", 3_500))

    trio.run(run_step)


@then('the version in use is "{version}"')
def step_check_used(context: Context, version: str) -> None:
    async def run_step() -> str | None:
        return context.versions.get_used_version(SERVICE, None)

    used = trio.run(run_step)
    assert used == version, used
    versions = context.versions.get_versions(SERVICE)
    assert versions.get_nodes(version) == {"b1", "b2"}, versions


class _EarlierSummary(NamedTuple):
    service: str
    instance: str
    incarnation: int
    state: UpstreamState
    slots: int


class _EarlierMember(NamedTuple):
    node_id: str
    incarnation: int
    version: int
    status: MemberStatus
    host: str
    availability_zone: str
    peer_address: str
    admin_address: str
    upstream: _EarlierSummary | None


class _EarlierUpdate(msgspec.Struct, array_like=True, tag="member"):
    members: tuple[_EarlierMember, ...]
    store_access: tuple[StoreAccess, ...] = ()


@given('an entry of an instance with version "{version}"')
def step_entry(context: Context, version: str) -> None:
    context.entry = _make_member("n1", version, 5)


@when("an earlier and this release decode its message")
def step_decode(context: Context) -> None:
    message = MemberUpdate.from_members([context.entry])
    data = msgspec.msgpack.encode(message)
    context.earlier = msgspec.msgpack.decode(data, type=_EarlierUpdate)
    context.decoded = msgspec.msgpack.decode(data, type=MemberUpdate)


@then("the earlier one reads the entry and this one also the version")
def step_check_decoded(context: Context) -> None:
    (earlier,) = context.earlier.members
    assert earlier.upstream == context.entry.upstream[:-1]
    assert context.decoded.get_members() == (context.entry,)


@when(
    "a trial has {failures:d} failures in {responses:d} responses, and {old:d}"
    " in {old_responses:d} of the old version"
)
def step_run_trial(
    context: Context,
    failures: int,
    responses: int,
    old: int,
    old_responses: int,
) -> None:
    # On each route and in each zone there are few responses.
    target, used = (
        VersionCounts(
            {
                ("a", f"r{index}"): RouteCounts(
                    f"r{index}",
                    count // 4,
                    failed // 4 + (index < failed % 4),
                    (),
                )
                for index in range(4)
            }
        )
        for count, failed in ((responses, failures), (old_responses, old))
    )
    context.verdict = VersionComparison().evaluate(target, used, 0.0)


@then("the version is {result}")
def step_check_suspicious(context: Context, result: str) -> None:
    assert context.verdict.is_suspicious == (result == "suspicious")
