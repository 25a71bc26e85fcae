"""Runs the steps of a scenario in one event loop."""

from collections.abc import Awaitable, Callable

import trio
from behave.runner import Context
from trio.testing import MockClock

Work = Callable[[], Awaitable[None]]


def tell(context: Context, work: Work) -> None:
    """Takes the work of one step; the last step runs all of them.

    Behave calls steps one after another outside of an event loop, but nodes
    have to keep running between them.
    """
    if "story" not in context:
        context.story = []
    context.story.append(work)
    steps = list(context.scenario.all_steps)
    if len(context.story) < len(steps):
        return

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            context.nursery = nursery
            for step, told in zip(steps, context.story, strict=True):
                try:
                    await told()
                except AssertionError as exc:
                    raise AssertionError(f"{step.name}: {exc}") from exc
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
