import random
from unittest import mock

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.instance_admission_harness import (
    InstanceAdmissionHarness,
    run_scenario,
)
from features.support.organisation_load import OrganisationLoad, send_load
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.admission.fair_share import FairShare
from rhubarbpaddle.admission.mean_work_times import MeanWorkTimes
from rhubarbpaddle.admission.organisation_use import OrganisationUse
from rhubarbpaddle.admission.queued_request import QueuedRequest
from rhubarbpaddle.admission.recent_usage_ratios import RecentUsageRatios
from rhubarbpaddle.admission.request_queue import RequestQueue
from rhubarbpaddle.admission.share_change import ShareChange
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import BytesBody, Request
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.instance_choice import InstanceChoice
from rhubarbpaddle.execution.instance_chooser import InstanceChooser
from rhubarbpaddle.execution.instance_proxy import InstanceProxy
from rhubarbpaddle.execution.route_gateway import RouteGateway
from rhubarbpaddle.execution.shared_retry_budget import SharedRetryBudget
from rhubarbpaddle.membership import UpstreamState, UpstreamSummary
from rhubarbpaddle.routing.spillover_reason import SpilloverReason
from rhubarbpaddle.usage.demand_rate import DemandRate

_SLOTS = 4
_RATE = 3.0
_SEED = 1
_USUAL_RATIO = 0.6


@given(
    "{quiet:d} organisations with usual demand and {hot:d} with {surge:g}"
    " times, of priority {priority:d}"
)
def step_loads(
    context: Context, quiet: int, hot: int, surge: float, priority: int
) -> None:
    context.loads = [
        *(OrganisationLoad(f"quiet-{n}", _RATE) for n in range(quiet)),
        *(
            OrganisationLoad(f"hot-{n}", 2 * _RATE, surge, priority)
            for n in range(hot)
        ),
    ]


def _send(context: Context, ratios_known: bool) -> None:
    context.arguments = (_SLOTS, 1.0, 1000.0, 0.0)

    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        context.rates = await send_load(
            harness, context.loads, _SEED, ratios_known
        )

    run_scenario(context, scenario)


@when("they send to an instance that serves 40 requests a second")
def step_send(context: Context) -> None:
    _send(context, ratios_known=True)


@when("they send without usage ratios")
def step_send_unknown(context: Context) -> None:
    _send(context, ratios_known=False)


@then(
    "at least {percent:d} of 100 requests of those with usual demand are served"
)
def step_quiet_served(context: Context, percent: int) -> None:
    quiet = [
        rate
        for name, rate in context.rates.by_organisation.items()
        if name.startswith("quiet")
    ]
    assert 100 * sum(quiet) / len(quiet) >= percent, context.rates


@then(
    "no tenth of the organisations is served less than a quarter as often as"
    " all"
)
def step_worst_tenth(context: Context) -> None:
    worst = context.rates.get_worst_tenth()
    assert worst >= context.rates.total / 4, context.rates


@then("no organisation counts as above its share")
def step_none_above(context: Context) -> None:
    codes = {exc.code for exc, _ in context.harness.refused}
    assert "instance_full" in codes, codes
    assert "organisation_above_share" not in codes
    assert not context.harness.share_changes, context.harness.share_changes


@when("these requests queue behind a running one")
def step_queue_table(context: Context) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        await _show_ratios(harness, "above share", 5.0)
        harness.started.clear()
        nursery.start_soon(harness.send_request, "running")
        await trio.sleep(0.01)
        for row in context.table:
            ratio = float(row["usage ratio"])
            nursery.start_soon(
                lambda row=row, ratio=ratio: harness.send_request(
                    row["name"],
                    latency_target=5.0,
                    deadline=6.0,
                    priority=int(row["priority"]),
                    organisation="above share" if ratio > 1 else "usual-0",
                    usage_ratio=ratio,
                )
            )
            await trio.sleep(0.001)

    run_scenario(context, scenario)


async def _show_ratios(
    harness: InstanceAdmissionHarness, above_share: str, ratio: float
) -> None:
    """Sends requests until an organisation counts as above its share.

    The next two that it queues are not within its share.
    """
    for _ in range(6):
        for number in range(3):
            await harness.send_request(
                organisation=f"usual-{number}",
                usage_ratio=_USUAL_RATIO,
                work=0.01,
            )
        await harness.send_request(
            organisation=above_share, usage_ratio=ratio, work=0.1
        )


@then('they start in the order "{names}"')
def step_order(context: Context, names: str) -> None:
    started = [name for name, _ in context.harness.started]
    assert started == ["running", *names.split(", ")], started


@when(
    "{count:d} requests above their share queue and 2 others are refused at"
    " once"
)
def step_refuse_at_once(context: Context, count: int) -> None:
    context.waits = {}

    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        ratio = 7 * _USUAL_RATIO
        await _show_ratios(harness, "above share", ratio)

        def send(organisation: str, ratio: float, may_queue: bool) -> None:
            nursery.start_soon(
                lambda: harness.send_request(
                    organisation=organisation,
                    usage_ratio=ratio,
                    may_queue=may_queue,
                    latency_target=5.0,
                    deadline=6.0,
                )
            )

        send("usual-0", _USUAL_RATIO, True)
        send("usual-1", _USUAL_RATIO, True)
        await trio.sleep(0.01)
        # One in three is within its share.
        for _ in range(count * 3 // 2):
            send("above share", ratio, True)
            await trio.sleep(0.0001)
        for name, own_ratio in (
            ("usual-0", _USUAL_RATIO),
            ("above share", ratio),
        ):
            send(name, own_ratio, False)
            await trio.sleep(0.0001)
            exc, _ = harness.refused[-1]
            assert exc.code == "instance_full", exc
            context.waits[name] = exc.expected_wait

    run_scenario(context, scenario)


@then('the wait reported to "{name}" is below {limit:g} s')
def step_wait_below(context: Context, name: str, limit: float) -> None:
    assert context.waits[name] < limit, context.waits


@then('the wait reported to "{name}" is above {limit:g} s')
def step_wait_above(context: Context, name: str, limit: float) -> None:
    assert context.waits[name] > limit, context.waits


@when("an organisation above its share is refused and pauses as long as told")
def step_pause(context: Context) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        ratio = 7 * _USUAL_RATIO
        await _show_ratios(harness, "hot", ratio)
        while not harness.refused:
            nursery.start_soon(
                lambda: harness.send_request(
                    organisation="hot", usage_ratio=ratio
                )
            )
            await trio.sleep(0.005)
        ((exc, _),) = harness.refused
        context.pause = exc.retry_after.total_seconds()
        await trio.sleep(context.pause)
        # The node that counts the usage sees no requests during the pause.
        demand = DemandRate(0.0)
        demand.add(1, 0.0)
        ratio *= demand.get(context.pause) / demand.get(0.0)
        context.ratio_after = ratio
        await harness.send_request(
            "after", organisation="hot", usage_ratio=ratio
        )

    run_scenario(context, scenario)


@then("it was told to pause between {low:g} s and {high:g} s")
def step_pause_length(context: Context, low: float, high: float) -> None:
    codes = {exc.code for exc, _ in context.harness.refused}
    assert codes == {"organisation_above_share"}, context.harness.refused
    assert low <= context.pause <= high, context.pause


@then("its usage ratio has fallen to that of the others")
def step_fallen(context: Context) -> None:
    assert context.ratio_after <= 1.01 * _USUAL_RATIO, context.ratio_after


@then("its next request starts before its latency target")
def step_started_after(context: Context) -> None:
    assert context.harness.started[-1][0] == "after"


@when(
    "{count:d} routes and organisations are used one after another for"
    " {seconds:d} s"
)
def step_use_many(context: Context, count: int, seconds: int) -> None:
    context.names = [str(number) for number in range(count)]
    context.times, context.ratios = MeanWorkTimes(), RecentUsageRatios()
    for number, name in enumerate(context.names):
        context.times.record(name, 1.0 if number < count // 2 else 0.1)
        use = OrganisationUse(0.5, number * seconds / count)
        context.ratios.record(name, use)


@then("at most {limit:d} routes are known, among them the last one")
def step_check_routes(context: Context, limit: int) -> None:
    assert sum(map(context.times.is_known, context.names)) <= limit
    assert context.times.is_known(context.names[-1])


@then(
    "at most {limit:d} organisations are known, and the mean is that of the"
    " last routes"
)
def step_check_organisations_known(context: Context, limit: int) -> None:
    assert len(context.ratios) <= limit, len(context.ratios)
    assert abs(context.times.get_mean() - 0.1) < 1e-9


@when(
    "the usage ratios of an organisation, relative to the others, are"
    ' "{factors}"'
)
def step_ratios(context: Context, factors: str) -> None:
    changes: list[ShareChange] = []
    share = FairShare(changes.append)
    context.above = []
    now = 0.0
    for factor in factors.split():
        for _ in range(10):
            now += 0.05
            for name in ("a", "b", "c"):
                share.record(name, _USUAL_RATIO, now)
            share.record("d", _USUAL_RATIO * float(factor), now)
        if changes and changes[-1].is_above_share:
            context.above.append(factor)
    assert len(changes) == 2, changes


@then('it is above its share for "{factors}"')
def step_above(context: Context, factors: str) -> None:
    assert context.above == factors.split(), context.above


@when(
    "{count:d} requests, half of them above their share, arrive and leave,"
    " seed {seed:d}"
)
def step_random_levels(context: Context, count: int, seed: int) -> None:
    rng = random.Random(seed)
    queue = RequestQueue()
    queued: list[QueuedRequest] = []
    context.differences = []
    for index in range(count):
        now = index * 0.005
        if len(queued) < 2 or rng.random() < 0.6:
            latest_start = now + rng.uniform(-0.1, 0.6)
            request = queue.create_request(
                rng.randrange(2), latest_start, 0.05, rng.random() < 0.5
            )
            queue.add(request)
            queued.append(request)
        else:
            request = queue.get_first(now)
            queue.remove(request)
            queued.remove(request)
        found = queue.get_first(now)
        lowest = min(queued, key=lambda request: request.get_rank(now))
        if found is not lowest:
            context.differences.append((now, found, lowest))


@when(
    'a request of "{organisation}" with usage ratio {ratio:g} fails at an'
    " instance"
)
def step_fail(context: Context, organisation: str, ratio: float) -> None:
    refusal = RefusedError(
        "lost", "lost", step="run_request", status=502, may_retry=True
    )
    summary = UpstreamSummary("s", "i", 1, UpstreamState.WARM, 4)
    context.admission = mock.Mock(acquire=mock.AsyncMock(side_effect=refusal))
    context.budget = mock.create_autospec(SharedRetryBudget)
    context.budget.try_spend.return_value = False
    crashes = mock.create_autospec(CrashLedger)
    crashes.is_blocked.return_value = False
    proxy = InstanceProxy(VirtualClock(), crashes, mock.Mock(), mock.Mock())
    proxy.attach(mock.Mock(summary=summary, admission=context.admission))
    dispatcher = mock.Mock(
        dispatch=lambda request, body, _: proxy.handle(request, body, "i", 1)
    )
    chooser = mock.create_autospec(InstanceChooser, instance=True)
    chooser.choose.return_value = InstanceChoice(
        mock.Mock(), False, SpilloverReason.OWN_ZONE
    )
    gateway = RouteGateway(
        mock.Mock(),
        chooser,
        dispatcher,
        context.budget,
        VirtualClock(),
        mock.Mock(),
    )

    async def run() -> None:
        request = Request(
            "r", organisation, "s", "GET", "/", [], 9.0, True, max_attempts=2
        )
        request = request._replace(usage_ratio=ratio)
        try:
            async with gateway.handle(request, BytesBody(b"")):
                raise AssertionError("the request must fail")
        except RefusedError as exc:
            assert exc.code == "lost", exc

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then('the instance\'s queue gets the ratio {ratio:g} of "{organisation}"')
def step_ticket(context: Context, ratio: float, organisation: str) -> None:
    ((ticket,), _) = context.admission.acquire.call_args
    assert (ticket.organisation, ticket.usage_ratio) == (organisation, ratio)


@then('a retry is asked for "{organisation}"')
def step_retry(context: Context, organisation: str) -> None:
    context.budget.record_request.assert_called_once_with("s", organisation)
    context.budget.try_spend.assert_called_once_with(
        "s", may_have_run=False, organisation=organisation
    )
