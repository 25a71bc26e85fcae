"""Runs all steps of a scenario in one event loop."""

from collections.abc import Awaitable, Callable

import trio
from behave.runner import Context
from trio.testing import MockClock

Work = Callable[[], Awaitable[None]]


def tell(context: Context, work: Work) -> None:
    """Defers the work of a step; the last step runs the work of all steps.

    Behave calls each step outside of an event loop, but nodes have to keep
    running between steps.
    """
    if "deferred_steps" not in context:
        context.deferred_steps = []
    context.deferred_steps.append(work)
    steps = list(context.scenario.all_steps)
    if len(context.deferred_steps) < len(steps):
        return

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            context.nursery = nursery
            for step, step_work in zip(
                steps, context.deferred_steps, strict=True
            ):
                try:
                    await step_work()
                except AssertionError as exc:
                    raise AssertionError(f"{step.name}: {exc}") from exc
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
