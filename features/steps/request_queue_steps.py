import math
import random
from unittest import mock

import trio
from behave import then, when
from behave.runner import Context

from features.support.instance_admission_harness import (
    InstanceAdmissionHarness,
    run_scenario,
)
from rhubarbpaddle.admission.queued_request import QueuedRequest
from rhubarbpaddle.admission.request_queue import RequestQueue

# Long enough that no request of a scenario is late at first.
_TARGET_SECONDS = 3.0
_WORK_SECONDS = (0.0, 0.03, 0.09, 0.14)


class StepCounter(trio.abc.Instrument):
    """Counts the steps of all tasks."""

    def __init__(self) -> None:
        self.steps = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.steps += 1


@when("{count:d} requests arrive and leave at random, seed {seed:d}")
def step_random(context: Context, count: int, seed: int) -> None:
    rng = random.Random(seed)
    queue = RequestQueue()
    queued: list[QueuedRequest] = []
    now = 0.0
    context.differences = []
    for _ in range(count):
        now += rng.random() * 0.01
        if not queued or rng.random() < 0.5:
            latest_start = rng.choice([-math.inf, now + rng.random() * 0.6])
            request = queue.create_request(
                rng.randrange(3), latest_start, rng.choice(_WORK_SECONDS)
            )
            queue.add(request)
            queued.append(request)
        else:
            request = rng.choice([rng.choice(queued), queue.get_first(now)])
            queue.remove(request)
            queued.remove(request)
        if queued:
            lowest = min(request.get_rank(now) for request in queued)
            found = queue.get_first(now).get_rank(now)
            if found != lowest:
                context.differences.append((now, found, lowest))
        assert len(queue) == len(queued)


@then("the first request was always the one with the lowest rank")
def step_lowest_rank(context: Context) -> None:
    assert not context.differences, context.differences[:3]


@when(
    "{count:d} requests are queued and the first is looked up {times:d} times"
)
def step_long_queue(context: Context, count: int, times: int) -> None:
    queue = RequestQueue()
    for index in range(count):
        queue.add(queue.create_request(1, index / count, 0.1))
    with mock.patch.object(
        QueuedRequest, "get_rank", autospec=True
    ) as get_rank:
        get_rank.side_effect = lambda request, now: (1, 0.0, request.number)
        for _ in range(times):
            queue.get_first(0.5)
        context.computed_ranks = get_rank.call_count


@then("the ranks of at most {count:d} requests are computed")
def step_rank_count(context: Context, count: int) -> None:
    assert context.computed_ranks <= count, context.computed_ranks


@when("{count:d} late requests wait for {seconds:g} s behind running ones")
def step_late_requests(context: Context, count: int, seconds: float) -> None:
    counter = StepCounter()

    async def scenario(
        harness: InstanceAdmissionHarness, nursery: trio.Nursery
    ) -> None:
        async def send_request() -> None:
            await harness.send_request(
                latency_target=_TARGET_SECONDS, deadline=60.0, work=30.0
            )

        for _ in range(harness.admission.slots + count):
            nursery.start_soon(send_request)
        await trio.sleep(_TARGET_SECONDS + 1)
        assert not harness.refused and len(harness.started) < count
        trio.lowlevel.add_instrument(counter)
        await trio.sleep(seconds)
        trio.lowlevel.remove_instrument(counter)
        nursery.cancel_scope.cancel()

    run_scenario(context, scenario)
    context.steps = counter.steps


@then("at most {count:d} task steps were needed")
def step_task_steps(context: Context, count: int) -> None:
    assert context.steps <= count, context.steps
