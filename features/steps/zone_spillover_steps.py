import operator
import random
from collections import Counter

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.instance_admission_harness import (
    InstanceAdmissionHarness,
    run_scenario,
)
from features.support.platform_scenario import run_on_platform
from features.support.platform_world import PlatformWorld, make_configuration
from features.support.zone_instance import SERVICE, ZoneInstance
from features.support.zone_world import (
    DEADLINE,
    LATENCY_TARGET,
    Answer,
    ZoneWorld,
    run_zone_world,
)
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Request
from rhubarbpaddle.execution.route_attempt_history import RouteAttemptHistory
from rhubarbpaddle.measuring import NO_EVIDENCE, LoadReport
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.membership import MemberStatus, UpstreamState
from rhubarbpaddle.routing.reported_wait import ReportedWait
from rhubarbpaddle.routing.spillover_share import SpilloverShare
from rhubarbpaddle.routing.spillover_terms import SpilloverTerms
from rhubarbpaddle.routing.transfer_sizes import TransferSizes

# All requests have been answered or refused this long after the last one.
_DRAIN_SECONDS = 4.5


@given('zones "{zones}" in which one instance at a time is slow')
def step_slow_zones(context: Context, zones: str) -> None:
    step_zones(context, zones)
    context.changes.append(
        lambda world: world.nursery.start_soon(world.slow_down)
    )


@given('zones "{zones}"')
def step_zones(context: Context, zones: str) -> None:
    context.zone_names = zones.replace(", ", "")
    context.changes = []
    context.large, context.deadline = False, DEADLINE


@given('the instances of zone "{zone}" are {state}')
def step_state(context: Context, zone: str, state: str) -> None:
    def change(world: ZoneWorld) -> None:
        instances = [
            i for i in world.instances.values() if i.member.node_id[0] == zone
        ]
        for instance in instances:
            if state == "cold":
                instance.admission.set_cold(100)
            for gateway in world.gateways:
                member = gateway.table.get(instance.member.node_id)
                assert member is not None and member.upstream is not None
                if state == "suspected":
                    member = member._replace(status=MemberStatus.SUSPECT)
                if state == "cold":
                    upstream = member.upstream._replace(
                        state=UpstreamState.COLD
                    )
                    member = member._replace(version=2, upstream=upstream)
                gateway.table.merge(member)
        if state == "back in use":
            world.withdrawn.add(zone)
            for gateway in world.gateways:
                gateway.router.choose(SERVICE, ())
            world.withdrawn.clear()

    context.changes.append(change)


@given('the responses of zone "{zone}" do not arrive in other zones')
def step_unreachable_zone(context: Context, zone: str) -> None:
    def change(world: ZoneWorld) -> None:
        for name, instance in world.instances.items():
            instance.reachable = name[0] != zone

    context.changes.append(change)


@given("responses are large and have a deadline of {seconds:g} s")
def step_large(context: Context, seconds: float) -> None:
    context.large, context.deadline = True, seconds


@when('callers use "{loads}" of their zones\' capacity for {seconds:g} s')
def step_load(context: Context, loads: str, seconds: float) -> None:
    context.phases = [(loads, seconds)]


@when('then "{loads}" for {seconds:g} s')
def step_next_load(context: Context, loads: str, seconds: float) -> None:
    context.phases.append((loads, seconds))


def _get_world(context: Context) -> ZoneWorld:
    """Runs the scenario at the first step that checks its result."""

    async def scenario(world: ZoneWorld) -> None:
        for change in context.changes:
            change(world)
        for loads, seconds in context.phases:
            async with trio.open_nursery() as nursery:
                pairs = zip(context.zone_names, loads.split(", "), strict=True)
                for zone, load in pairs:
                    nursery.start_soon(
                        world.send_load,
                        zone,
                        float(load),
                        seconds,
                        context.large,
                        context.deadline,
                    )
        context.end = trio.current_time()
        await trio.sleep(_DRAIN_SECONDS)

    if "world" not in context:
        context.world = run_zone_world(scenario, context.zone_names)
        start = context.world.started_at
        context.answers = [
            answer._replace(sent_at=answer.sent_at - start)
            for answer in context.world.answers
        ]
        context.end -= start
    return context.world


def _has_left(answer: Answer) -> bool:
    return bool(answer.served_by) and answer.served_by[0] != answer.zone


def _get_answers(context: Context, zones: str) -> list[Answer]:
    _get_world(context)
    return [answer for answer in context.answers if answer.zone in zones]


def _get_share(answers: list[Answer], end: str) -> float:
    """Returns the part of the requests that end as described."""
    checks = {
        "leave": _has_left,
        "are answered": lambda a: a.status == 200,
        "are answered in time": lambda a: (
            a.status == 200 and a.seconds <= LATENCY_TARGET
        ),
    }
    return sum(map(checks[end], answers)) / len(answers)


@then(
    'at {bound} {percent:d} % of the requests of zones "{zones}" {end} from '
    "{start:g} to {stop:g} s"
)
def step_share_of_requests(
    context: Context,
    bound: str,
    percent: int,
    zones: str,
    end: str,
    start: float,
    stop: float,
) -> None:
    for zone in zones.split(", "):
        answers = _get_answers(context, zone)
        share = _get_share(
            [a for a in answers if start <= a.sent_at < stop], end
        )
        passed = {"least": operator.ge, "most": operator.le}[bound]
        assert passed(share, percent / 100), (zone, share)


@then(
    'the share that leaves zone "{zone}" varies by at most {limit:g} after '
    "the first {seconds:g} s"
)
def step_varies(
    context: Context, zone: str, limit: float, seconds: float
) -> None:
    windows: dict[int, list[Answer]] = {}
    for answer in _get_answers(context, zone):
        if answer.sent_at >= seconds:
            windows.setdefault(int(answer.sent_at / 0.5), []).append(answer)
    shares = [_get_share(answers, "leave") for answers in windows.values()]
    assert max(shares) - min(shares) <= limit, shares


@then("no instance of another zone gets more than twice its part of it")
def step_spread(context: Context) -> None:
    answers = _get_answers(context, "a")
    counts = Counter(a.served_by for a in answers if _has_left(a))
    others = [n for n in context.world.instances if n[0] != "a"]
    part = counts.total() / len(others)
    assert max(counts.values()) <= 2 * part, counts


@then('zone "{zone}" serves at most {count:d} requests of zone "{origin}"')
def step_serves(context: Context, zone: str, count: int, origin: str) -> None:
    answers = _get_answers(context, origin)
    served = [a for a in answers if a.served_by[:1] == zone]
    assert len(served) <= count, len(served)
    assert any(map(_has_left, answers))


@then('at most 1 request of each gateway and second is lost in zone "{zone}"')
def step_lost(context: Context, zone: str) -> None:
    world = _get_world(context)
    gateways = [g for g in world.gateways if g.zone != zone]
    lost = sum(gateway.lost for gateway in gateways)
    assert lost <= len(gateways) * context.end, lost


@when(
    'a gateway of zone "{zone}" gets refusals with a wait of {seconds:g} s '
    'in zones "{zones}"'
)
def step_refusals(
    context: Context, zone: str, seconds: float, zones: str
) -> None:
    async def scenario(world: ZoneWorld) -> None:
        gateway = next(g for g in world.gateways if g.zone == zone)
        own = gateway.router.choose_local(SERVICE, ())
        assert own is not None
        own_wait = ReportedWait(own, seconds, 9)

        def choose_zones() -> set[str]:
            terms = SpilloverTerms(SERVICE, "", trio.current_time() + 0.5)
            gateway.spillover.observe_full(own_wait, 0.001)
            choices = [
                gateway.spillover.choose_after_refusals(terms, (), [own_wait])
                for _ in range(50)
            ]
            return {c.availability_zone for c in choices if c is not None}

        refusing = zones.replace(", ", "").replace(zone, "")
        waits = [
            ReportedWait(candidate, seconds, 9)
            for _ in range(2)
            if (candidate := gateway.router.choose_spare(SERVICE, refusing, ()))
        ]
        for wait in waits:
            gateway.spillover.observe_full(wait, 0.005)
        context.zones_chosen = choose_zones()
        await trio.sleep(8)
        terms = SpilloverTerms(SERVICE, "", trio.current_time() + 0.5)
        # What was reported 8 s ago sends no request away.
        assert gateway.spillover.choose_first(terms, ()) is None
        context.zones_chosen_later = choose_zones()

    run_zone_world(scenario, context.zone_names)


@then('its next request leaves zone "a", but not to zone "{zone}"')
def step_chosen(context: Context, zone: str) -> None:
    assert context.zones_chosen == {*context.zone_names} - {"a", zone}


@then(
    '8 s later its next request that zone "a" refuses may go to zone "{zone}"'
)
def step_chosen_later(context: Context, zone: str) -> None:
    assert zone in context.zones_chosen_later


@when(
    'an instance refuses a request with "{code}", another with "{other_code}"'
)
def step_refuse_with(context: Context, code: str, other_code: str) -> None:
    async def scenario(world: ZoneWorld) -> None:
        now = trio.current_time()
        request = Request("r", "", SERVICE, "GET", "/", [], now + 1, True)
        chooser = world.gateways[0].chooser
        context.history = RouteAttemptHistory(SERVICE)
        context.refusing = []
        for refusal_code in (code, other_code):
            choice = chooser.choose(request, context.history)
            assert choice is not None and not choice.may_queue
            context.refusing.append(choice.candidate.node_id)
            exc = RefusedError(
                refusal_code,
                "-",
                step="admit",
                may_retry=True,
                report=LoadReport(4, 1, 4, UpstreamState.WARM),
                expected_wait=0.2,
            )
            context.history.record_failure(context.refusing[-1], exc, False)
            chooser.observe_refusal(choice, context.history, exc, 0.001)

    run_zone_world(scenario, context.zone_names)


@then("the wait at the first is known, but none at the other")
def step_known_waits(context: Context) -> None:
    assert list(context.history.waits) == context.refusing[:1]


@given("an instance whose slots are all used")
def step_used_instance(context: Context) -> None:
    context.results = []


@when("a request of another zone and one of its own zone queue")
def step_queue(context: Context) -> None:
    async def run() -> None:
        admission = ZoneInstance("a0", "a", 0.1, random.Random(1)).admission

        async def send(name: str, spillover: bool) -> None:
            now = trio.current_time()
            ticket = Ticket("", now + 2, True, spillover=spillover)
            try:
                slot = await admission.acquire(ticket)
            except RefusedError as exc:
                context.results.append((name, exc.expected_wait))
                return
            context.results.append((name, 0.0))
            await trio.sleep(0.1)
            slot.release(NO_EVIDENCE)

        async with trio.open_nursery() as nursery:
            for _ in range(admission.slots):
                nursery.start_soon(send, "running", False)
            await trio.sleep(0.01)
            for name, spillover in (
                ("first", True),
                ("own", False),
                ("second", True),
            ):
                nursery.start_soon(send, name, spillover)
                await trio.sleep(0.01)

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("a second request of another zone is refused with an expected wait")
def step_second_refused(context: Context) -> None:
    waits = dict(context.results)
    assert waits["second"] > 0, context.results


@then("the first one is served")
def step_first_served(context: Context) -> None:
    waits = dict(context.results)
    assert waits["first"] == waits["own"] == 0, context.results


@when("a request of its own zone queues while it is checked for one of another")
def step_queue_during_check(context: Context) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        for _ in range(harness.admission.slots - 1):
            nursery.start_soon(harness.send_request, "running")
        await trio.sleep(0.05)
        # The reading is out of date, so that the instance is checked.
        nursery.start_soon(
            lambda: harness.send_request("other zone", spillover=True)
        )
        await trio.sleep(0.0005)
        # A response contains a reading, and the last slot is taken.
        harness.monitor.record_reading(InstanceReading("i", 0, 0, 6, 1.0, None))
        nursery.start_soon(harness.send_request, "last slot")
        await trio.sleep(0.0001)
        nursery.start_soon(harness.send_request, "own zone")

    run_scenario(context, scenario)


@then("the request of the other zone is refused")
def step_other_refused(context: Context) -> None:
    ((exc, _),) = context.harness.refused
    assert exc.code == "instance_full", exc


@then("the request of its own zone is served")
def step_own_served(context: Context) -> None:
    started = [name for name, _ in context.harness.started]
    assert started[-1] == "own zone", started


@given(
    'a platform with nodes "{names}" in zone "{zone}" and "{others}" in '
    'zone "{other_zone}"'
)
def step_platform(
    context: Context, names: str, zone: str, others: str, other_zone: str
) -> None:
    context.configuration = make_configuration()
    context.zones = dict.fromkeys(names.split(", "), zone)
    context.zones |= dict.fromkeys(others.split(", "), other_zone)


@when('callers send {count:d} requests of {work:g} s at once to "{name}"')
def step_send_at_once(
    context: Context, count: int, work: float, name: str
) -> None:
    async def send(world: PlatformWorld, request_id: str) -> None:
        response = await world.send_request(name, request_id)
        context.statuses.append(response.status)

    async def run_scenario(world: PlatformWorld) -> None:
        for instance in world.instances.values():
            instance.work_seconds = work
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(send, world, f"r{number}")
                await trio.sleep(0.005)
        context.metrics = await world.nodes[name].metrics.render()

    context.statuses = []
    run_on_platform(context, run_scenario)


@then("all requests are answered")
def step_all_answered(context: Context) -> None:
    assert set(context.statuses) == {200}, Counter(context.statuses)


@then('the instances in zone "{zone}" run at least {count:d} of them')
def step_ran(context: Context, zone: str, count: int) -> None:
    runs = sum(
        len(context.world.instances[name].runs)
        for name, other in context.zones.items()
        if other == zone
    )
    assert runs >= count, runs


@then('the metrics of "h1" count requests that left because of a shortage')
def step_metrics(context: Context) -> None:
    assert b"zone_choices" in context.metrics
    reasons = ("shortage", "share", "shorter_queue")
    assert any(f'reason="{r}"'.encode() in context.metrics for r in reasons)


@given("a gateway whose zone has no room for 30 requests in 3 s")
def step_share(context: Context) -> None:
    context.share = SpilloverShare()
    for number in range(30):
        context.share.observe_own_zone(True, number / 10)


@then("its share is between {low:g} and {high:g}")
def step_share_between(context: Context, low: float, high: float) -> None:
    assert low <= context.share.get(3.0) <= high, context.share.get(3.0)


@then("it is 0 after 30 requests for which the zone has room in 3 s")
def step_share_zero(context: Context) -> None:
    for number in range(30):
        context.share.observe_own_zone(False, 3 + number / 10)
    assert context.share.get(6.0) == 0


@then("it stays 0 while every fifth request finds no room")
def step_share_stays(context: Context) -> None:
    for number in range(100):
        context.share.observe_own_zone(number % 5 == 4, 6 + number / 10)
        if number % 5 == 3:
            assert context.share.get(6 + number / 10) == 0


@when(
    "{count:d} routes transfer {length:d} bytes each and one of them stays in"
    " use"
)
def step_routes(context: Context, count: int, length: int) -> None:
    sizes = TransferSizes()
    names = [f"route-{number}" for number in range(count)]
    for name in names:
        sizes.observe(name, length)
        sizes.observe(names[0], length)
    context.known = {name for name in names if sizes.get(name) == length}


@then("the bytes of at most {count:d} routes are known, among them that one")
def step_known_routes(context: Context, count: int) -> None:
    assert len(context.known) <= count, len(context.known)
    assert "route-0" in context.known
