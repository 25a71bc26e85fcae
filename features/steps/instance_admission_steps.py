import trio
from behave import given, then, when
from behave.runner import Context

from features.support.admission_bench import (
    WORK_SECONDS,
    AdmissionBench,
    run_admission,
)
from rhubarbpaddle.measuring import EvidenceKind


@given("an instance with {slots:d} slots at pace {pace:g}")
def step_instance(context: Context, slots: int, pace: float) -> None:
    context.arguments = (slots, pace, 1000.0, 0.0)


@given(
    "a cold instance with {slots:d} slots that bears {rate:d} requests a second"
)
def step_cold(context: Context, slots: int, rate: int) -> None:
    context.arguments = (slots, 1.0, float(rate), 10.0)


@when("a request that may not queue asks")
def step_ask(context: Context) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        await bench.ask(may_queue=False)

    run_admission(context, script)


@then('it is refused as "{code}" without delay')
def step_refused(context: Context, code: str) -> None:
    ((exc, elapsed),) = context.bench.refused
    assert exc.code == code and exc.may_retry
    assert elapsed < 0.01, elapsed


@when("{count:d} requests queue and the pace returns to 1 after {after:g} s")
def step_spell(context: Context, count: int, after: float) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        for _ in range(count):
            nursery.start_soon(bench.ask)
        await trio.sleep(after)
        bench.health.pace = 1.0

    run_admission(context, script)


@then("all {count:d} start within {seconds:g} s")
def step_all_start(context: Context, count: int, seconds: float) -> None:
    times = [at for _, at in context.bench.started]
    assert len(times) == count, context.bench.refused
    assert max(times) <= seconds, times


@when(
    "a request with {useful:g} s to its target and {deadline:g} s to its "
    "deadline queues"
)
def step_late(context: Context, useful: float, deadline: float) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        await bench.ask(useful=useful, deadline=deadline)

    run_admission(context, script)


@then("it starts after about {seconds:g} s")
def step_starts_after(context: Context, seconds: float) -> None:
    ((_, at),) = context.bench.started
    assert abs(at - seconds) < 0.05, at


@when("{count:d} requests that may not queue ask one after the other")
def step_ask_many(context: Context, count: int) -> None:
    _ask_many(context, count, may_queue=False)


@when("{count:d} requests that may queue ask one after the other")
def step_queue_many(context: Context, count: int) -> None:
    _ask_many(context, count, may_queue=True)


def _ask_many(context: Context, count: int, may_queue: bool) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        for _ in range(count):
            nursery.start_soon(_ask, bench, may_queue)
            await trio.sleep(0.002)

    run_admission(context, script)


async def _ask(bench: AdmissionBench, may_queue: bool) -> None:
    await bench.ask(may_queue=may_queue)


@then('{count:d} start and {others:d} are refused as "{code}"')
def step_some(context: Context, count: int, others: int, code: str) -> None:
    assert len(context.bench.started) == count
    codes = [exc.code for exc, _ in context.bench.refused]
    assert codes == [code] * others, codes


@then("{count:d} start at once")
def step_at_once(context: Context, count: int) -> None:
    times = [at for _, at in context.bench.started]
    assert len(times) == count
    assert max(times) < 0.05, times


@when("requests in the last slots slow down all that run")
def step_harmful(context: Context) -> None:
    _use_last_slots(context, slows_all=True)


@when("requests in the last slots take twice as long")
def step_slower(context: Context) -> None:
    _use_last_slots(context, crowded_work=2 * WORK_SECONDS)


def _use_last_slots(
    context: Context,
    crowded_work: float | None = None,
    slows_all: bool = False,
) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def ask() -> None:
            await bench.ask(
                useful=5,
                deadline=9,
                crowded_work=crowded_work,
                slows_all=slows_all,
            )

        for _ in range(120):
            nursery.start_soon(ask)
            await trio.sleep(WORK_SECONDS / 8)
        bench.most = 0

        async with trio.open_nursery() as later:
            for _ in range(24):
                later.start_soon(ask)

    run_admission(context, script)


@then("all {count:d} slots are used while requests wait")
def step_all_used(context: Context, count: int) -> None:
    assert context.bench.most == count, context.bench.most


@then("no more than {count:d} requests run at once")
def step_most(context: Context, count: int) -> None:
    assert context.bench.most <= count, context.bench.most


@when("{count:d} requests with {useful:g} s to their target queue at once")
def step_overload(context: Context, count: int, useful: float) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def ask() -> None:
            await bench.ask(useful=useful)

        for _ in range(count):
            nursery.start_soon(ask)

    run_admission(context, script)


@then("the refused ones were refused without delay and told when to return")
def step_refused_early(context: Context) -> None:
    assert context.bench.started and context.bench.refused
    for exc, elapsed in context.bench.refused:
        assert elapsed < 0.05, elapsed
        assert exc.retry_after.total_seconds() >= 0.1


@when("requests of priority 2, 1 and 0 queue behind a running one")
def step_priorities(context: Context) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def ask(priority: int) -> None:
            await bench.ask(str(priority), priority=priority, useful=2)

        nursery.start_soon(ask, 3)
        await trio.sleep(0.01)
        for priority in (2, 1, 0):
            nursery.start_soon(ask, priority)
            await trio.sleep(0.005)

    run_admission(context, script)


@then("they start in the order of priority 0, 1 and 2")
def step_order(context: Context) -> None:
    names = [name for name, _ in context.bench.started]
    assert names == ["3", "0", "1", "2"], names


@when(
    "a request with {useful:g} s to its target queues behind one that runs "
    "{work:g} s"
)
def step_becomes_late(context: Context, useful: float, work: float) -> None:
    context.late = (useful, work)


@when("a request with {useful:g} s to its target queues as well")
def step_in_time(context: Context, useful: float) -> None:
    late_useful, work = context.late

    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def ask(name: str, seconds: float, busy: float) -> None:
            await bench.ask(name, useful=seconds, work=busy)

        # The estimate of the wait rests on short work before.
        await bench.ask("before", work=0.01)
        nursery.start_soon(ask, "running", 2.0, work)
        await trio.sleep(0.01)
        nursery.start_soon(ask, "late", late_useful, 0.01)
        await trio.sleep(0.01)
        nursery.start_soon(ask, "in time", useful, 0.01)

    run_admission(context, script)


@then("the second starts first")
def step_second_first(context: Context) -> None:
    names = [name for name, _ in context.bench.started]
    assert names[:3] == ["before", "running", "in time"], names


@when("{count:d} short requests come within {seconds:g} s")
def step_many_short(context: Context, count: int, seconds: float) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def ask() -> None:
            await bench.ask(work=0.001, useful=1.0)

        for _ in range(count):
            nursery.start_soon(ask)
            await trio.sleep(seconds / count)

    run_admission(context, script)


@then("no second has more than {count:d} starts")
def step_per_second(context: Context, count: int) -> None:
    times = [at for _, at in context.bench.started]
    assert len(times) > count
    for first in times:
        assert sum(first <= at < first + 1 for at in times) <= count


@when("{count:d} requests fail and then {others:d} ask within 1 s")
def step_failing(context: Context, count: int, others: int) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        for _ in range(count):
            await bench.ask(work=0.01, kind=EvidenceKind.FAILED)
        bench.started.clear()
        for _ in range(others):
            await bench.ask(
                may_queue=False, work=0.01, kind=EvidenceKind.FAILED
            )
            await trio.sleep(0.04)

    run_admission(context, script)


@then("at most {count:d} of the last ones start")
def step_few_start(context: Context, count: int) -> None:
    assert 0 < len(context.bench.started) <= count, context.bench.started


@when("a waiting request is cancelled")
def step_cancelled(context: Context) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def ask(name: str) -> None:
            await bench.ask(name, useful=2)

        nursery.start_soon(ask, "running")
        await trio.sleep(0.01)
        with trio.move_on_after(0.02):
            await bench.ask("cancelled", useful=2)
        nursery.start_soon(ask, "next")

    run_admission(context, script)


@then("the next one starts as soon as the slot is free")
def step_next(context: Context) -> None:
    assert [name for name, _ in context.bench.started] == ["running", "next"]
    assert abs(context.bench.started[1][1] - WORK_SECONDS) < 0.01
    assert context.bench.admission.in_flight == 0


@when(
    "{count:d} requests with {useful:g} s to their target wait in a spell that "
    "goes on"
)
def step_long_spell(context: Context, count: int, useful: float) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def ask() -> None:
            await bench.ask(useful=useful)

        for _ in range(count):
            nursery.start_soon(ask)

    run_admission(context, script)


@then("{count:d} start and none is refused")
def step_none_refused(context: Context, count: int) -> None:
    assert len(context.bench.started) == count, context.bench.refused
    assert not context.bench.refused


@when(
    "uploads of {upload:g} s come {uploads:d} times a second and lookups of "
    "{lookup:g} s {lookups:d} times for {seconds:d} s"
)
def step_mixed(
    context: Context,
    upload: float,
    uploads: int,
    lookup: float,
    lookups: int,
    seconds: int,
) -> None:
    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def send(
            name: str, rate: int, work: float, useful: float, deadline: float
        ) -> None:
            for _ in range(rate * seconds):
                nursery.start_soon(ask, name, work, useful, deadline)
                await trio.sleep(1 / rate)

        async def ask(
            name: str, work: float, useful: float, deadline: float
        ) -> None:
            await bench.ask(
                name, useful=useful, deadline=deadline, work=work, route=name
            )

        nursery.start_soon(send, "upload", uploads, upload, 0.5, 1.2)
        nursery.start_soon(send, "lookup", lookups, lookup, 0.12, 0.6)

    context.asked = lookups * seconds
    run_admission(context, script)


@then("at least {share:d} of 100 lookups run")
def step_lookupsrun_admission(context: Context, share: int) -> None:
    ran = sum(name == "lookup" for name, _ in context.bench.started)
    assert 100 * ran >= share * context.asked, (ran, context.asked)
