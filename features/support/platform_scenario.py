"""Runs the steps of a scenario on nodes of the users' platform."""

from collections.abc import Awaitable, Callable

import trio
from behave.runner import Context

from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformWorld,
    run_platform_world,
)

Script = Callable[[PlatformWorld], Awaitable[None]]


def run_on_platform(
    context: Context, script: Script, report: bool = True, healthy: bool = True
) -> None:
    """Starts the scenario's hosts and runs a script.

    Args:
        context: Holds `configuration`, and `zones` by host.
        script: What happens once the nodes know each other.
        report: Whether all instances report first.
        healthy: Whether instances say so before they report.
    """

    async def run(world: PlatformWorld) -> None:
        await world.start_store(context.configuration)
        for name, zone in context.zones.items():
            # A healthy instance is served before it reports.
            (await world.start_host(name, zone)).healthy = healthy
        await trio.sleep(SETTLE_SECONDS)
        if report:
            for name in context.zones:
                assert await world.report(name) == 200
        await trio.sleep(0.5)
        context.world = world
        await script(world)

    run_platform_world(run)
