import tracemalloc

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.instance_admission_harness import (
    WORK_SECONDS,
    InstanceAdmissionHarness,
    run_scenario,
)
from rhubarbpaddle.admission.cold_start_rate_limit import ColdStartRateLimit
from rhubarbpaddle.measuring import EvidenceKind


@given("an instance with {slots:d} slots and slowdown factor {slowdown:g}")
def step_instance(context: Context, slots: int, slowdown: float) -> None:
    context.arguments = (slots, slowdown, 1000.0, 0.0)


@given(
    "a cold instance with {slots:d} slots that sustains {rate:d} requests "
    "a second"
)
def step_cold_instance(context: Context, slots: int, rate: int) -> None:
    context.arguments = (slots, 1.0, float(rate), 10.0)


@when("a request that may not queue arrives")
def step_arrives(context: Context) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        await harness.send_request(may_queue=False)

    run_scenario(context, scenario)


@then('it is refused as "{code}" without delay')
def step_refused(context: Context, code: str) -> None:
    ((exc, elapsed),) = context.harness.refused
    assert exc.code == code and exc.may_retry
    assert elapsed < 0.01, elapsed


@when(
    "{count:d} requests queue and the slowdown factor returns to 1 after "
    "{after:g} s"
)
def step_slow_period(context: Context, count: int, after: float) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        for _ in range(count):
            nursery.start_soon(harness.send_request)
        await trio.sleep(after)
        harness.health.slowdown = 1.0

    run_scenario(context, scenario)


@then("all {count:d} start within {seconds:g} s")
def step_all_start(context: Context, count: int, seconds: float) -> None:
    times = [at for _, at in context.harness.started]
    assert len(times) == count, context.harness.refused
    assert max(times) <= seconds, times


@when(
    "a request with {target:g} s to its target and {deadline:g} s to its "
    "deadline queues"
)
def step_deadline(context: Context, target: float, deadline: float) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        await harness.send_request(latency_target=target, deadline=deadline)

    run_scenario(context, scenario)


@then("it starts after about {seconds:g} s")
def step_starts_after(context: Context, seconds: float) -> None:
    ((_, at),) = context.harness.started
    assert abs(at - seconds) < 0.05, at


@when("{count:d} requests that may not queue arrive one after another")
def step_arrive_no_queue(context: Context, count: int) -> None:
    _send_requests(context, count, may_queue=False)


@when("{count:d} requests that may queue arrive one after another")
def step_arrive_may_queue(context: Context, count: int) -> None:
    _send_requests(context, count, may_queue=True)


def _send_requests(context: Context, count: int, may_queue: bool) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        for _ in range(count):
            nursery.start_soon(_send_request, harness, may_queue)
            await trio.sleep(0.002)

    run_scenario(context, scenario)


async def _send_request(
    harness: InstanceAdmissionHarness, may_queue: bool
) -> None:
    await harness.send_request(may_queue=may_queue)


@then('{count:d} start and {others:d} are refused as "{code}"')
def step_some_start(
    context: Context, count: int, others: int, code: str
) -> None:
    assert len(context.harness.started) == count
    codes = [exc.code for exc, _ in context.harness.refused]
    assert codes == [code] * others, codes


@then("{count:d} start at once")
def step_at_once(context: Context, count: int) -> None:
    times = [at for _, at in context.harness.started]
    assert len(times) == count
    assert max(times) < 0.05, times


@when("requests in the last slots slow down all running requests")
def step_last_slots_slow_all(context: Context) -> None:
    _use_last_slots(context, slowed_by_last_slots=True)


@when("requests in the last slots take twice as long")
def step_last_slots_slower(context: Context) -> None:
    _use_last_slots(context, last_slot_work=2 * WORK_SECONDS)


def _use_last_slots(
    context: Context,
    last_slot_work: float | None = None,
    slowed_by_last_slots: bool = False,
) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send_request() -> None:
            await harness.send_request(
                latency_target=5,
                deadline=9,
                last_slot_work=last_slot_work,
                slowed_by_last_slots=slowed_by_last_slots,
            )

        for _ in range(120):
            nursery.start_soon(send_request)
            await trio.sleep(WORK_SECONDS / 8)
        harness.peak_in_flight = 0

        async with trio.open_nursery() as queued_nursery:
            for _ in range(24):
                queued_nursery.start_soon(send_request)

    run_scenario(context, scenario)


@then("all {count:d} slots are used while requests are queued")
def step_all_used(context: Context, count: int) -> None:
    assert context.harness.peak_in_flight == count, (
        context.harness.peak_in_flight
    )


@then("no more than {count:d} requests run concurrently")
def step_peak(context: Context, count: int) -> None:
    assert context.harness.peak_in_flight <= count, (
        context.harness.peak_in_flight
    )


@when("{count:d} requests with {target:g} s to their target queue at once")
def step_overload(context: Context, count: int, target: float) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send_request() -> None:
            await harness.send_request(latency_target=target)

        for _ in range(count):
            nursery.start_soon(send_request)

    run_scenario(context, scenario)


@then("the refused requests got a retry-after time without delay")
def step_refused_early(context: Context) -> None:
    assert context.harness.started and context.harness.refused
    for exc, elapsed in context.harness.refused:
        assert elapsed < 0.05, elapsed
        assert exc.retry_after.total_seconds() >= 0.1


@when("requests of priority 2, 1 and 0 queue behind a running request")
def step_priorities(context: Context) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send_request(priority: int) -> None:
            await harness.send_request(
                str(priority), priority=priority, latency_target=2
            )

        nursery.start_soon(send_request, 3)
        await trio.sleep(0.01)
        for priority in (2, 1, 0):
            nursery.start_soon(send_request, priority)
            await trio.sleep(0.005)

    run_scenario(context, scenario)


@then("they start in the order of priority 0, 1 and 2")
def step_order(context: Context) -> None:
    names = [name for name, _ in context.harness.started]
    assert names == ["3", "0", "1", "2"], names


@when(
    "a request with {target:g} s to its target queues behind one that runs "
    "{work:g} s"
)
def step_becomes_late(context: Context, target: float, work: float) -> None:
    context.late = (target, work)


@when("a second request with {target:g} s to its target queues")
def step_second_request(context: Context, target: float) -> None:
    late_target, work = context.late

    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send_request(
            name: str, latency_target: float, duration: float
        ) -> None:
            await harness.send_request(
                name, latency_target=latency_target, work=duration
            )

        # The expected wait is estimated from an earlier short request.
        await harness.send_request("before", work=0.01)
        nursery.start_soon(send_request, "running", 2.0, work)
        await trio.sleep(0.01)
        nursery.start_soon(send_request, "late", late_target, 0.01)
        await trio.sleep(0.01)
        nursery.start_soon(send_request, "in time", target, 0.01)

    run_scenario(context, scenario)


@then("the second request starts first")
def step_second_first(context: Context) -> None:
    names = [name for name, _ in context.harness.started]
    assert names[:3] == ["before", "running", "in time"], names


@when("{count:d} short requests arrive within {seconds:g} s")
def step_many_short(context: Context, count: int, seconds: float) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send_request() -> None:
            await harness.send_request(work=0.001, latency_target=1.0)

        for _ in range(count):
            nursery.start_soon(send_request)
            await trio.sleep(seconds / count)

    run_scenario(context, scenario)


@then("no second has more than {count:d} starts")
def step_per_second(context: Context, count: int) -> None:
    times = [at for _, at in context.harness.started]
    assert len(times) > count
    for first in times:
        assert sum(first <= at < first + 1 for at in times) <= count


@when("{count:d} requests fail and then {others:d} arrive within 1 s")
def step_failing(context: Context, count: int, others: int) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        for _ in range(count):
            await harness.send_request(work=0.01, kind=EvidenceKind.FAILED)
        harness.started.clear()
        for _ in range(others):
            await harness.send_request(
                may_queue=False, work=0.01, kind=EvidenceKind.FAILED
            )
            await trio.sleep(0.04)

    run_scenario(context, scenario)


@then("at most {count:d} of the later requests start")
def step_few_start(context: Context, count: int) -> None:
    assert 0 < len(context.harness.started) <= count, context.harness.started


@when("a queued request is cancelled")
def step_cancelled(context: Context) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send_request(name: str) -> None:
            await harness.send_request(name, latency_target=2)

        nursery.start_soon(send_request, "running")
        await trio.sleep(0.01)
        with trio.move_on_after(0.02):
            await harness.send_request("cancelled", latency_target=2)
        nursery.start_soon(send_request, "next")

    run_scenario(context, scenario)


@then("the next request starts as soon as the slot is free")
def step_next_starts(context: Context) -> None:
    assert [name for name, _ in context.harness.started] == ["running", "next"]
    assert abs(context.harness.started[1][1] - WORK_SECONDS) < 0.01
    assert context.harness.admission.in_flight == 0


@when(
    "{count:d} requests with {target:g} s to their target queue in a lasting "
    "slow period"
)
def step_lasting_slow_period(
    context: Context, count: int, target: float
) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send_request() -> None:
            await harness.send_request(latency_target=target)

        for _ in range(count):
            nursery.start_soon(send_request)

    run_scenario(context, scenario)


@then("{count:d} start and none is refused")
def step_none_refused(context: Context, count: int) -> None:
    assert len(context.harness.started) == count, context.harness.refused
    assert not context.harness.refused


@when(
    "{uploads:d} uploads of {upload:g} s and {lookups:d} lookups of "
    "{lookup:g} s arrive per second for {seconds:d} s"
)
def step_mixed(
    context: Context,
    upload: float,
    uploads: int,
    lookup: float,
    lookups: int,
    seconds: int,
) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send(
            name: str, rate: int, work: float, target: float, deadline: float
        ) -> None:
            for _ in range(rate * seconds):
                nursery.start_soon(send_request, name, work, target, deadline)
                await trio.sleep(1 / rate)

        async def send_request(
            name: str, work: float, target: float, deadline: float
        ) -> None:
            await harness.send_request(
                name,
                latency_target=target,
                deadline=deadline,
                work=work,
                route=name,
            )

        nursery.start_soon(send, "upload", uploads, upload, 0.5, 1.2)
        nursery.start_soon(send, "lookup", lookups, lookup, 0.12, 0.6)

    context.lookups_sent = lookups * seconds
    run_scenario(context, scenario)


@then("at least {percent:d} of 100 lookups run")
def step_lookups(context: Context, percent: int) -> None:
    ran = sum(name == "lookup" for name, _ in context.harness.started)
    assert 100 * ran >= percent * context.lookups_sent, (
        ran,
        context.lookups_sent,
    )


@given(
    "a cold instance with {slots:d} slots that sustains {rate:d} requests "
    "a second and takes {factor:g} times as long"
)
def step_slow_cold_instance(
    context: Context, slots: int, rate: int, factor: float
) -> None:
    context.arguments = (slots, factor, float(rate), 3.0)


@when(
    "{rate:d} requests of {work:g} s a second with {target:g} s to their target"
    " arrive for {seconds:g} s"
)
def step_arrive_steadily(
    context: Context, rate: int, work: float, target: float, seconds: float
) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        context.sent_at = []
        for _ in range(int(rate * seconds)):
            context.sent_at.append(trio.current_time())
            nursery.start_soon(_send_for, harness, work, target)
            await trio.sleep(1 / rate)

    run_scenario(context, scenario)


async def _send_for(
    harness: InstanceAdmissionHarness, work: float, target: float
) -> None:
    duration = work * harness.health.slowdown
    await harness.send_request(work=duration, latency_target=target)


@then("all start within {seconds:g} s of their arrival")
def step_start_soon(context: Context, seconds: float) -> None:
    starts = sorted(at for _, at in context.harness.started)
    assert len(starts) == len(context.sent_at), context.harness.refused
    delays = [
        at - sent for at, sent in zip(starts, context.sent_at, strict=True)
    ]
    assert max(delays) <= seconds, delays


@when(
    "a slow period of {seconds:g} s with factor {factor:g} begins and a request"
    " queues"
)
def step_slow_period_of_cold(
    context: Context, seconds: float, factor: float
) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        for _ in range(6):
            nursery.start_soon(harness.send_request, "before")
            await trio.sleep(0.1)
        await trio.sleep(0.4)
        usual, harness.health.slowdown = harness.health.slowdown, factor
        context.slow_since = trio.current_time()
        nursery.start_soon(harness.send_request, "r", True, 1.0)
        await trio.sleep(seconds)
        harness.health.slowdown = usual

    run_scenario(context, scenario)
    context.harness.started = [
        (name, at - context.slow_since)
        for name, at in context.harness.started
        if name == "r"
    ]


@when(
    "its slowdown factor is {factor:g} after {seconds:g} s and a request queues"
    " at once"
)
def step_slow_at_first(context: Context, factor: float, seconds: float) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        nursery.start_soon(harness.send_request, "r", True, 1.0)
        await trio.sleep(seconds)
        harness.health.slowdown = factor

    run_scenario(context, scenario)


@when(
    "{count:d} requests with {target:g} s to their target and {deadline:g} s to"
    " their deadline queue at once"
)
def step_queue_at_once(
    context: Context, count: int, target: float, deadline: float
) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        for _ in range(count):
            nursery.start_soon(
                harness.send_request, "r", True, target, deadline
            )

    run_scenario(context, scenario)


@then(
    "at least {count:d} are refused without delay and told to return within"
    " {seconds:g} s"
)
def step_refused_at_once(context: Context, count: int, seconds: float) -> None:
    at_once = [exc for exc, after in context.harness.refused if after < 0.02]
    assert len(at_once) >= count, context.harness.refused
    delays = [exc.retry_after.total_seconds() for exc in at_once]
    assert 0 < max(delays) <= seconds, delays


@when(
    "{count:d} requests of {work:g} s queue and {others:d} that may not queue"
    " follow"
)
def step_queue_and_follow(
    context: Context, count: int, work: float, others: int
) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        for _ in range(count):
            nursery.start_soon(
                harness.send_request, "r", True, 9.0, 9.0, 1, work
            )
        for _ in range(others):
            await trio.sleep(0.1)
            await harness.send_request(may_queue=False)

    run_scenario(context, scenario)
    context.requests = count + others


@then("the instance was checked at most {ratio:g} times for each request")
def step_check_count(context: Context, ratio: float) -> None:
    checks = context.harness.health.checks
    assert checks <= ratio * context.requests, checks


@when(
    "it has been slow for {seconds:g} s and a request with {target:g} s to its"
    " target and {deadline:g} s to its deadline queues"
)
def step_queue_at_slow(
    context: Context, seconds: float, target: float, deadline: float
) -> None:
    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        for _ in range(int(seconds / 0.05)):
            # Each one makes the node read the slowdown factor.
            await harness.send_request(may_queue=False)
            await trio.sleep(0.05)
        harness.refused.clear()
        context.queued_at = trio.current_time()
        await harness.send_request("r", True, target, deadline)

    run_scenario(context, scenario)


@then("the request is refused within {seconds:g} s")
def step_check_refused_within(context: Context, seconds: float) -> None:
    ((_, after),) = context.harness.refused
    assert after <= seconds, after


@then("it starts within {seconds:g} s")
def step_check_started_within(context: Context, seconds: float) -> None:
    ((_, at),) = context.harness.started
    assert at - context.queued_at <= seconds, at - context.queued_at


@when(
    "the rate limit of a warm instance records {rate:d} requests a second for"
    " {seconds:d} s"
)
def step_record_warm_requests(
    context: Context, rate: int, seconds: int
) -> None:
    limit = ColdStartRateLimit(5.0)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for index in range(rate * seconds):
            limit.add(index / rate)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    context.bytes_added = after - before


@then("it occupies at most {count:d} bytes more than before")
def step_check_bytes_added(context: Context, count: int) -> None:
    assert context.bytes_added <= count, context.bytes_added
