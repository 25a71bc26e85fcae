from collections.abc import Awaitable, Callable

import trio
import trio.lowlevel
import trio.testing
from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from trio.testing import MockClock

from features.support.admission_machine import AdmissionMachine
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.admission import (
    AdaptiveAdmission,
    CriticalityTable,
    Slot,
    Ticket,
)
from rhubarbpaddle.admission.concurrency_limit import ConcurrencyLimit
from rhubarbpaddle.configuration import Configuration, Service, Tenant
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import NO_EVIDENCE, Evidence, EvidenceKind
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.outcome import Outcome

_ANSWERED = Evidence(EvidenceKind.ANSWERED, 1.0)
_FAST = Evidence(EvidenceKind.ANSWERED, 0.01)
Step = Callable[["Desk"], Awaitable[None]]


class Desk:
    """An admission whose requests the steps start and end."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.admission = AdaptiveAdmission(1, VirtualClock())
        self.nursery = nursery
        self.slots: list[tuple[Ticket, Slot]] = []
        self.refusals: list[tuple[Ticket, RefusedError]] = []

    async def ask(self, tenant: str, left: float, **fields: int) -> None:
        ticket = Ticket(tenant, trio.current_time() + left, True)
        ticket = ticket._replace(**fields)  # type: ignore[arg-type]
        self.nursery.start_soon(self._acquire, ticket)
        await trio.testing.wait_all_tasks_blocked()

    async def _acquire(self, ticket: Ticket) -> None:
        try:
            slot = await self.admission.acquire(ticket)
        except RefusedError as exc:
            self.refusals.append((ticket, exc))
        else:
            self.slots.append((ticket, slot))


def _run(context: Context) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            desk = Desk(nursery)
            for step in context.desk_steps:
                await step(desk)
            context.desk = desk
            context.report = desk.admission.get_report()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock())


@when("requests come, end, expire and are cancelled in any order")
def step_machine(context: Context) -> None:
    context.machine = AdmissionMachine


@then("the admission model holds")
def step_machine_holds(context: Context) -> None:
    run_state_machine_as_test(
        context.machine, settings=settings(max_examples=100)
    )


@given("an admission with 1 slot in use")
def step_in_use(context: Context) -> None:
    async def use(desk: Desk) -> None:
        # One request that took 1 s teaches how long a slot is held.
        await desk.ask("club", 100)
        await trio.lowlevel.checkpoint()
        desk.slots.pop()[1].release(NO_EVIDENCE)
        desk.admission._mean_hold_seconds = 1.0
        await desk.ask("club", 100)

    context.desk_steps = [use]


@given("requests take 1 s and {count:d} wait")
def step_wait(context: Context, count: int) -> None:
    async def wait(desk: Desk) -> None:
        for _ in range(count):
            await desk.ask("club", 100)

    context.desk_steps.append(wait)


@given("the queue is full with requests of criticality {criticality:d}")
def step_full(context: Context, criticality: int) -> None:
    async def fill(desk: Desk) -> None:
        for _ in range(4):
            await desk.ask("club", 100, criticality=criticality)
        assert desk.admission.get_report().queued == 4

    context.desk_steps.append(fill)


@given(
    'tenants "club" and "parish" with weights 3 and 1 wait with 8 requests each'
)
def step_weights(context: Context) -> None:
    async def wait(desk: Desk) -> None:
        desk.admission._queue_length = 16
        tenants = {"club": Tenant("club", 3), "parish": Tenant("parish", 1)}
        desk.admission.configure(Service("lanes", slots=1), tenants)
        for tenant in tenants:
            for _ in range(8):
                await desk.ask(tenant, 100)

    context.desk_steps.append(wait)


@when('a request of "club" asks without queueing')
def step_ask_without_queueing(context: Context) -> None:
    context.desk_steps.append(
        lambda desk: desk.ask("club", 100, may_queue=False)
    )
    _run(context)


@when('a request of "club" asks with {left:d} s left')
def step_ask_with_time(context: Context, left: int) -> None:
    context.desk_steps.append(lambda desk: desk.ask("club", left))
    _run(context)


@when("a request of criticality {criticality:d} asks")
def step_ask_critical(context: Context, criticality: int) -> None:
    context.desk_steps.append(
        lambda desk: desk.ask("club", 100, criticality=criticality)
    )
    _run(context)


@when("a request of another tenant asks with criticality 0")
def step_ask_other(context: Context) -> None:
    context.desk_steps.append(lambda desk: desk.ask("parish", 100))
    _run(context)


@when("slots become free {count:d} times")
def step_free(context: Context, count: int) -> None:
    async def free(desk: Desk) -> None:
        for _ in range(count):
            desk.slots[-1][1].release(NO_EVIDENCE)
            await trio.testing.wait_all_tasks_blocked()

    context.desk_steps.append(free)
    _run(context)


@when("the upstream starts to leave")
def step_leave(context: Context) -> None:
    async def leave(desk: Desk) -> None:
        desk.admission.set_state(UpstreamState.LEAVING)
        await trio.testing.wait_all_tasks_blocked()

    context.desk_steps.append(leave)
    _run(context)


@then('it is refused as "{code}", not run, and may try elsewhere')
def step_refused(context: Context, code: str) -> None:
    [(_, refusal)] = context.desk.refusals
    assert refusal.code == code
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.may_retry


@then("a request of criticality {criticality:d} is refused in its place")
def step_victim(context: Context, criticality: int) -> None:
    [(ticket, refusal)] = context.desk.refusals
    assert refusal.code == "queue_full"
    assert (ticket.tenant, ticket.criticality) == ("club", criticality)
    assert context.report.queued == 4


@then('"club" was served {first:d} times and "parish" {second:d} times')
def step_served(context: Context, first: int, second: int) -> None:
    served = [ticket.tenant for ticket, _ in context.desk.slots[1:]]
    assert served.count("club") == first, served
    assert served.count("parish") == second, served


@then('all that waited are refused as "{code}", not run')
def step_all_refused(context: Context, code: str) -> None:
    refusals = [refusal for _, refusal in context.desk.refusals]
    assert len(refusals) == 3
    for refusal in refusals:
        assert refusal.code == code
        assert refusal.may_retry
        assert refusal.outcome is Outcome.NOT_RUN


@then("the request in flight keeps its slot")
def step_keeps(context: Context) -> None:
    assert context.report.in_flight == 1


@given("coaching depends on reservas and reservas on lanes")
def step_dependencies(context: Context) -> None:
    services = {
        "lanes": Service("lanes"),
        "reservas": Service("reservas", depends_on=("lanes",)),
        "coaching": Service("coaching", depends_on=("reservas",)),
    }
    context.ranks = CriticalityTable.from_config(
        Configuration(services, {}, {})
    )


@then(
    'a call to "lanes" has criticality {direct:d} from "reservas",'
    ' {indirect:d} from "coaching" and {outside:d} from ""'
)
def step_criticality(
    context: Context, direct: int, indirect: int, outside: int
) -> None:
    assert context.ranks.get("lanes", "reservas") == direct
    assert context.ranks.get("lanes", "coaching") == indirect
    assert context.ranks.get("lanes", "") == outside


@given("a warm limit of {value:d}")
def step_warm_limit(context: Context, value: int) -> None:
    context.limit = ConcurrencyLimit(value, 0.0, 0.01)
    context.limit.restart(value, 0.01, 0.0)
    context.limits = []
    context.now = 0.0


@when("no request comes for {seconds:d} s")
def step_pause(context: Context, seconds: int) -> None:
    context.now += seconds


@when("full load follows for {seconds:d} s")
def step_full_load(context: Context, seconds: int) -> None:
    end = context.now + seconds
    while context.now < end:
        concurrency = context.limit.get()
        started, context.now = context.now, context.now + 0.01
        for _ in range(concurrency):
            context.limit.record(_FAST, started, concurrency, context.now)
        context.limits.append(context.limit.get())


@then("the limit was never below {value:d}")
def step_never_below(context: Context, value: int) -> None:
    assert min(context.limits) >= value, context.limits


@then("the limit was {value:d} at some time")
def step_at_some_time(context: Context, value: int) -> None:
    assert value in context.limits, context.limits
