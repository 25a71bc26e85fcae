"""Runs all steps of a scenario in one event loop."""

from collections.abc import Awaitable, Callable
from functools import partial, wraps
from typing import Any

import trio
from behave.runner import Context
from trio.testing import MockClock

DeferredStep = Callable[[], Awaitable[None]]


def defer_step(context: Context, run_step: DeferredStep) -> None:
    """Defers a step; the last step of a scenario runs all of them in order.

    Behave calls each step outside of an event loop, but nodes have to keep
    running between steps.
    """
    if "deferred_steps" not in context:
        context.deferred_steps = []
    context.deferred_steps.append(run_step)
    steps = list(context.scenario.all_steps)
    if len(context.deferred_steps) < len(steps):
        return

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            context.nursery = nursery
            for step, run_deferred in zip(
                steps, context.deferred_steps, strict=True
            ):
                try:
                    await run_deferred()
                except AssertionError as exc:
                    raise AssertionError(f"{step.name}: {exc}") from exc
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def deferred(
    run_step: Callable[..., Awaitable[None]],
) -> Callable[..., None]:
    """Makes an asynchronous function a step that is deferred."""

    @wraps(run_step)
    def step(context: Context, *args: Any, **kwargs: Any) -> None:
        defer_step(context, partial(run_step, context, *args, **kwargs))

    return step
