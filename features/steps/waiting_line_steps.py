import math
import random
from unittest import mock

import trio
from behave import then, when
from behave.runner import Context

from features.support.admission_bench import AdmissionBench, run_admission
from rhubarbpaddle.admission.queued_request import QueuedRequest
from rhubarbpaddle.admission.request_queue import RequestQueue

# Long enough that all requests of a scenario may wait.
_USEFUL_SECONDS = 3.0
_WORKS = (0.0, 0.03, 0.09, 0.14)


class StepCounter(trio.abc.Instrument):
    """Counts how often tasks run."""

    def __init__(self) -> None:
        self.steps = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.steps += 1


@when("{count:d} requests come and go at random, seed {seed:d}")
def step_random(context: Context, count: int, seed: int) -> None:
    rng = random.Random(seed)
    line = RequestQueue()
    waiting: list[QueuedRequest] = []
    now = 0.0
    context.differences = []
    for _ in range(count):
        now += rng.random() * 0.01
        if not waiting or rng.random() < 0.5:
            latest = rng.choice([-math.inf, now + rng.random() * 0.6])
            request = line.create_request(
                rng.randrange(3), latest, rng.choice(_WORKS)
            )
            line.add(request)
            waiting.append(request)
        else:
            request = rng.choice([rng.choice(waiting), line.get_first(now)])
            line.remove(request)
            waiting.remove(request)
        if waiting:
            lowest = min(request.get_rank(now) for request in waiting)
            found = line.get_first(now).get_rank(now)
            if found != lowest:
                context.differences.append((now, found, lowest))
        assert len(line) == len(waiting)


@then("the first was always the one with the lowest rank")
def step_same(context: Context) -> None:
    assert not context.differences, context.differences[:3]


@when("{count:d} requests wait and the first is asked for {times:d} times")
def step_long_line(context: Context, count: int, times: int) -> None:
    line = RequestQueue()
    for index in range(count):
        line.add(line.create_request(1, index / count, 0.1))
    with mock.patch.object(
        QueuedRequest, "get_rank", autospec=True
    ) as get_rank:
        get_rank.side_effect = lambda request, now: (1, 0.0, request.number)
        for _ in range(times):
            line.get_first(0.5)
        context.computed = get_rank.call_count


@then("the ranks of at most {count:d} requests are computed")
def step_computed(context: Context, count: int) -> None:
    assert context.computed <= count, context.computed


@when(
    "{count:d} requests that are late wait for {seconds:g} s behind running "
    "ones"
)
def step_late(context: Context, count: int, seconds: float) -> None:
    counter = StepCounter()

    async def script(bench: AdmissionBench, nursery: trio.Nursery) -> None:
        async def ask() -> None:
            await bench.ask(useful=_USEFUL_SECONDS, deadline=60.0, work=30.0)

        for _ in range(bench.admission.slots + count):
            nursery.start_soon(ask)
        await trio.sleep(_USEFUL_SECONDS + 1)
        assert not bench.refused and len(bench.started) < count
        trio.lowlevel.add_instrument(counter)
        await trio.sleep(seconds)
        trio.lowlevel.remove_instrument(counter)
        nursery.cancel_scope.cancel()

    run_admission(context, script)
    context.steps = counter.steps


@then("at most {count:d} task steps were needed")
def step_few(context: Context, count: int) -> None:
    assert context.steps <= count, context.steps
