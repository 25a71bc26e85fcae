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
from rhubarbpaddle.admission.adaptive_admission import AdaptiveAdmission
from rhubarbpaddle.admission.concurrency_limit import ConcurrencyLimit
from rhubarbpaddle.admission.criticality_table import CriticalityTable
from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import NO_EVIDENCE, Evidence, EvidenceKind
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.outcome import Outcome

_RESPONDED = Evidence(EvidenceKind.RESPONDED, 1.0)
_FAST = Evidence(EvidenceKind.RESPONDED, 0.01)
Action = Callable[["AdmissionHarness"], Awaitable[None]]


class AdmissionHarness:
    """Admission control whose requests are started and ended by the steps."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.admission = AdaptiveAdmission(1, VirtualClock())
        self.nursery = nursery
        self.slots: list[tuple[Ticket, Slot]] = []
        self.refusals: list[tuple[Ticket, RefusedError]] = []

    async def send_request(
        self, organisation: str, remaining: float, **fields: int
    ) -> None:
        ticket = Ticket(organisation, trio.current_time() + remaining, True)
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
            harness = AdmissionHarness(nursery)
            for action in context.actions:
                await action(harness)
            context.harness = harness
            context.report = harness.admission.get_report()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock())


@when("requests arrive, end, time out and are cancelled in any order")
def step_any_order(context: Context) -> None:
    context.machine = AdmissionMachine


@then("the invariants of admission control hold")
def step_invariants(context: Context) -> None:
    run_state_machine_as_test(
        context.machine, settings=settings(max_examples=100)
    )


@given("admission control with 1 slot in use")
def step_slot_in_use(context: Context) -> None:
    async def occupy_slot(harness: AdmissionHarness) -> None:
        # After a completed request, a slot is held for 1 s on average.
        await harness.send_request("club", 100)
        await trio.lowlevel.checkpoint()
        harness.slots.pop()[1].release(NO_EVIDENCE)
        harness.admission._mean_hold_seconds = 1.0
        await harness.send_request("club", 100)

    context.actions = [occupy_slot]


@given("requests take 1 s and {count:d} are queued")
def step_queued(context: Context, count: int) -> None:
    async def queue_requests(harness: AdmissionHarness) -> None:
        for _ in range(count):
            await harness.send_request("club", 100)

    context.actions.append(queue_requests)


@given("the queue is full of requests of criticality {criticality:d}")
def step_full_queue(context: Context, criticality: int) -> None:
    async def fill_queue(harness: AdmissionHarness) -> None:
        for _ in range(4):
            await harness.send_request("club", 100, criticality=criticality)
        assert harness.admission.get_report().queued == 4

    context.actions.append(fill_queue)


@given(
    'organisations "club" and "parish" with weights 3 and 1 queue 8 requests'
    " each"
)
def step_weights(context: Context) -> None:
    async def queue_requests(harness: AdmissionHarness) -> None:
        harness.admission._queue_length = 16
        organisations = {
            "club": Organisation("club", 3),
            "parish": Organisation("parish", 1),
        }
        harness.admission.configure(Service("lanes", slots=1), organisations)
        for organisation in organisations:
            for _ in range(8):
                await harness.send_request(organisation, 100)

    context.actions.append(queue_requests)


@when('a request of "club" that may not queue arrives')
def step_request_may_not_queue(context: Context) -> None:
    context.actions.append(
        lambda harness: harness.send_request("club", 100, may_queue=False)
    )
    _run(context)


@when('a request of "club" with {remaining:d} s to its deadline arrives')
def step_request_with_deadline(context: Context, remaining: int) -> None:
    context.actions.append(
        lambda harness: harness.send_request("club", remaining)
    )
    _run(context)


@when("a request of criticality {criticality:d} arrives")
def step_critical_request(context: Context, criticality: int) -> None:
    context.actions.append(
        lambda harness: harness.send_request(
            "club", 100, criticality=criticality
        )
    )
    _run(context)


@when("a request of another organisation arrives with criticality 0")
def step_other_organisation(context: Context) -> None:
    context.actions.append(lambda harness: harness.send_request("parish", 100))
    _run(context)


@when("slots become free {count:d} times")
def step_slots_free(context: Context, count: int) -> None:
    async def release_slots(harness: AdmissionHarness) -> None:
        for _ in range(count):
            harness.slots[-1][1].release(NO_EVIDENCE)
            await trio.testing.wait_all_tasks_blocked()

    context.actions.append(release_slots)
    _run(context)


@when("the upstream announces that it is leaving")
def step_leaving(context: Context) -> None:
    async def announce_leaving(harness: AdmissionHarness) -> None:
        harness.admission.set_state(UpstreamState.LEAVING)
        await trio.testing.wait_all_tasks_blocked()

    context.actions.append(announce_leaving)
    _run(context)


@then('it is refused as "{code}", did not run and may be retried')
def step_refused(context: Context, code: str) -> None:
    [(_, refusal)] = context.harness.refusals
    assert refusal.code == code
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.may_retry


@then("a queued request of criticality {criticality:d} is shed instead")
def step_shed(context: Context, criticality: int) -> None:
    [(ticket, refusal)] = context.harness.refusals
    assert refusal.code == "queue_full"
    assert (ticket.organisation, ticket.criticality) == ("club", criticality)
    assert context.report.queued == 4


@then('"club" was served {first:d} times and "parish" {second:d} times')
def step_served(context: Context, first: int, second: int) -> None:
    served = [ticket.organisation for ticket, _ in context.harness.slots[1:]]
    assert served.count("club") == first, served
    assert served.count("parish") == second, served


@then('all queued requests are refused as "{code}" and did not run')
def step_all_refused(context: Context, code: str) -> None:
    refusals = [refusal for _, refusal in context.harness.refusals]
    assert len(refusals) == 3
    for refusal in refusals:
        assert refusal.code == code
        assert refusal.may_retry
        assert refusal.outcome is Outcome.NOT_RUN


@then("the request in flight keeps its slot")
def step_keeps_slot(context: Context) -> None:
    assert context.report.in_flight == 1


@given("coaching depends on reservas and reservas on lanes")
def step_dependencies(context: Context) -> None:
    services = {
        "lanes": Service("lanes"),
        "reservas": Service("reservas", depends_on=("lanes",)),
        "coaching": Service("coaching", depends_on=("reservas",)),
    }
    context.criticality = CriticalityTable.from_config(
        Configuration(services, {}, {})
    )


@then(
    'a call to "lanes" has criticality {direct:d} from "reservas",'
    ' {indirect:d} from "coaching" and {outside:d} from ""'
)
def step_criticality(
    context: Context, direct: int, indirect: int, outside: int
) -> None:
    assert context.criticality.get("lanes", "reservas") == direct
    assert context.criticality.get("lanes", "coaching") == indirect
    assert context.criticality.get("lanes", "") == outside


@given("a warm concurrency limit of {value:d}")
def step_warm_limit(context: Context, value: int) -> None:
    context.limit = ConcurrencyLimit(value, 0.0, 0.01)
    context.limit.restart(value, 0.01, 0.0)
    context.limits = []
    context.now = 0.0


@when("no request arrives for {seconds:d} s")
def step_idle(context: Context, seconds: int) -> None:
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
