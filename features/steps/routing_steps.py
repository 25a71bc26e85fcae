import random
from collections import Counter
from collections.abc import Iterator

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import strategies as st
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.availability_zone import AvailabilityZone
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.routing.adaptive_router import AdaptiveRouter
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.service_index import ServiceIndex

_SERVICE = "lanes"
_WORK_SECONDS = 0.005


class CountingTable(MemberTable):
    """Counts how often it is iterated."""

    iterations = 0

    def __iter__(self) -> Iterator[Member]:
        self.iterations += 1
        return super().__iter__()


def make_member(
    name: str,
    zone: str = "a",
    state: UpstreamState = UpstreamState.WARM,
    service: str = _SERVICE,
    version: int = 1,
    status: MemberStatus = MemberStatus.ALIVE,
) -> Member:
    upstream = UpstreamSummary(service, name, 1, state, 6)
    return Member(
        name, 1, version, status, name, zone, f"{name}:2", "", upstream
    )


def make_configuration(zones: dict[str, bool]) -> Configuration:
    return Configuration(
        {_SERVICE: Service(_SERVICE)},
        {name: AvailabilityZone(name, "r", up) for name, up in zones.items()},
        {},
    )


def make_router(context: Context, name: str = "g") -> AdaptiveRouter:
    own = make_member(name)._replace(upstream=None)
    table = context.member_table = CountingTable(own)
    for member in context.members:
        table.merge(member)
    return AdaptiveRouter(table, random.Random(name), VirtualClock())


def run(context: Context, function: object, *args: object) -> None:
    async def call() -> None:
        await trio.sleep(context.now)
        await function(*args)  # type: ignore[operator]
        context.now = trio.current_time()

    trio.run(call, clock=MockClock(autojump_threshold=0))


def set_up(context: Context, zones: list[str]) -> None:
    context.members = [
        make_member(f"i{n}", zone) for n, zone in enumerate(zones)
    ]
    context.cfg = make_configuration(dict.fromkeys(["a", *zones], True))
    context.faults = {}
    context.counts = Counter()
    context.now = 0.0
    context.router = None


@given("{count:d} instances")
def step_instances(context: Context, count: int) -> None:
    set_up(context, ["a"] * count)


@given('{count:d} instances in availability zones "{zones}"')
def step_zones(context: Context, count: int, zones: str) -> None:
    set_up(context, zones.split(", "))


@given('{count:d} instances of which "{name}" {fault}')
def step_fault(context: Context, count: int, name: str, fault: str) -> None:
    set_up(context, ["a"] * count)
    context.faults[name] = fault


async def send_request(context: Context, candidate: Candidate) -> None:
    """Sends one request and reports its result to the router."""
    router = context.router
    name = candidate.instance
    fault = context.faults.get(name, "")
    router.record_start(candidate)
    context.counts[name] += 1
    report = LoadReport(1, 0, 6, UpstreamState.WARM)
    if fault == "fails at once":
        router.record_end(candidate, 0.0001, False, report)
    elif fault == "is gone":
        router.record_end(candidate, 0.0001, False, None, "instance_gone")
    else:
        work = _WORK_SECONDS * (10 if fault.startswith("takes") else 1)
        await trio.sleep(work)
        router.record_end(candidate, work, True, report)


@when("{count:d} requests are routed one after another")
def step_sequence(context: Context, count: int) -> None:
    async def send() -> None:
        context.router = context.router or make_router(context)
        context.counts.clear()
        for _ in range(count):
            candidate = context.router.choose(context.cfg, _SERVICE, ())
            await send_request(context, candidate)

    run(context, send)


@when('"{name}" recovers and {seconds:d} s pass')
def step_recover(context: Context, name: str, seconds: int) -> None:
    del context.faults[name]
    context.now += seconds


@when("{count:d} requests are started at once")
def step_at_once(context: Context, count: int) -> None:
    async def send() -> None:
        router = context.router = context.router or make_router(context)
        for member in context.members:
            candidate = Candidate.from_member(member)
            reports_idle = context.faults.get(member.node_id)
            load = 0 if reports_idle else 4
            report = LoadReport(load, 0, 6, UpstreamState.WARM)
            router.choose(context.cfg, _SERVICE, ())
            router.record_start(candidate)
            router.record_end(candidate, _WORK_SECONDS, True, report)
        # The reports are as old as the median latency.
        await trio.sleep(_WORK_SECONDS)
        for _ in range(count):
            candidate = router.choose(context.cfg, _SERVICE, ())
            router.record_start(candidate)
            context.counts[candidate.instance] += 1
            context.counts[f"zone {candidate.availability_zone}"] += 1

    run(context, send)


@when("{gateways:d} gateways route {count:d} requests each")
def step_gateways(context: Context, gateways: int, count: int) -> None:
    async def send() -> None:
        context.used = []
        for index in range(gateways):
            router = make_router(context, f"g{index}")
            used: Counter[str] = Counter()
            for _ in range(count):
                candidate = router.choose(context.cfg, _SERVICE, ())
                router.record_start(candidate)
                used[candidate.instance] += 1
            context.used.append(used)

    run(context, send)


@when('zone "{zone}" is taken out of service and returns')
def step_zone_returns(context: Context, zone: str) -> None:
    async def publish() -> None:
        router = context.router = make_router(context)
        for up in (True, False, True):
            context.cfg = make_configuration({"a": True, zone: up})
            router.observe_configuration(context.cfg)

    run(context, publish)


@when("{seconds:d} s pass without requests")
def step_pass(context: Context, seconds: int) -> None:
    context.now += seconds


@when("{count:d} members are replaced one after another")
def step_members_replaced(context: Context, count: int) -> None:
    async def replace() -> None:
        router = context.router = make_router(context)
        for index in range(count):
            name = f"r{index}"
            context.member_table.merge(make_member(name))
            router.choose(context.cfg, _SERVICE, ())
            context.member_table.merge(
                make_member(name, version=2, status=MemberStatus.DEAD)
            )
            router.choose(context.cfg, _SERVICE, ())

    run(context, replace)


@then("the router holds state for at most {count:d} instances")
def step_tracked(context: Context, count: int) -> None:
    assert context.router.get_tracked_count() <= count


@then('"{name}" got at most {count:d} requests')
def step_at_most(context: Context, name: str, count: int) -> None:
    assert context.counts[name] <= count, context.counts


@then('"{name}" got at least {count:d} requests')
def step_at_least(context: Context, name: str, count: int) -> None:
    assert context.counts[name] >= count, context.counts


@then('zone "{zone}" got at most {count:d} requests')
def step_zone_at_most(context: Context, zone: str, count: int) -> None:
    assert context.counts[f"zone {zone}"] <= count, context.counts


@then('zone "{zone}" got at least {count:d} requests')
def step_zone_at_least(context: Context, zone: str, count: int) -> None:
    assert context.counts[f"zone {zone}"] >= count, context.counts


@then("each gateway used at most {count:d} instances")
def step_instances_used(context: Context, count: int) -> None:
    assert all(len(used) <= count for used in context.used)


@then("no instance got more than {ratio:g} times the mean")
def step_even_load(context: Context, ratio: float) -> None:
    total: Counter[str] = sum(context.used, Counter())
    mean = total.total() / len(context.members)
    assert max(total.values()) <= ratio * mean, total


@then("the index equals the table after any member changes")
def step_index(context: Context) -> None:
    changes = st.tuples(
        st.sampled_from(["i0", "i1", "i2"]),
        st.sampled_from(["lanes", "reservas"]),
        st.sampled_from(UpstreamState),
        st.sampled_from(MemberStatus),
    )

    @for_all(st.lists(changes, max_size=12))
    def check(
        steps: list[tuple[str, str, UpstreamState, MemberStatus]],
    ) -> None:
        table = MemberTable(make_member("g")._replace(upstream=None))
        index = ServiceIndex(table)
        for version, (name, service, state, status) in enumerate(steps):
            table.merge(make_member(name, "a", state, service, version, status))
        rebuilt = ServiceIndex(table)
        for service in ("lanes", "reservas"):
            indexed = sorted(m.node_id for m in index.get_members(service))
            expected = rebuilt.get_members(service)
            assert indexed == sorted(m.node_id for m in expected)

    check()


@then("the member table was iterated {count:d} times")
def step_iterations(context: Context, count: int) -> None:
    assert context.member_table.iterations == count, (
        context.member_table.iterations
    )
