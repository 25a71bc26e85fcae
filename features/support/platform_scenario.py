"""Runs a scenario on nodes of the users' platform."""

from collections.abc import Awaitable, Callable

import trio
from behave.runner import Context

from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformWorld,
    run_platform_world,
)

PlatformScenario = Callable[[PlatformWorld], Awaitable[None]]


def run_on_platform(
    context: Context,
    scenario: PlatformScenario,
    report: bool = True,
    healthy: bool = True,
) -> None:
    """Starts the hosts of the platform and runs a scenario on them.

    Args:
        context: Holds `configuration`, and `zones` by host.
        scenario: Called once the nodes know each other.
        report: Whether each instance sends a status report before that.
        healthy: Whether the health checks of the instances succeed.
    """

    async def run(world: PlatformWorld) -> None:
        world.bounds = getattr(context, "bounds", {})
        await world.start_store(context.configuration)
        for name, zone in context.zones.items():
            # A healthy instance gets requests even before it reports.
            (await world.start_host(name, zone)).healthy = healthy
        await trio.sleep(SETTLE_SECONDS)
        if report:
            for name in context.zones:
                assert await world.report(name) == 200
        await trio.sleep(0.5)
        context.world = world
        await scenario(world)

    run_platform_world(run)
