"""One run of the soak."""

import random
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import trio

from soak.caller import DEADLINE_SECONDS
from soak.deployment import COLD_PER_SECOND, SoakWorld
from soak.fault_schedule import FaultSchedule
from soak.oracle import Oracle

# Faults end, caches of dead links expire and cold instances warm up.
_SETTLE_SECONDS = 8.0
_FINAL_REQUESTS = 5
# The platform's bounds of the standard deployments.
_COLD_MULTIPLIER = 1.5
_COLD_SLACK = 5.0
_ONLY_PLANNED_EVERY = 4


class SoakReport(NamedTuple):
    """What a run has shown.

    Attributes:
        seed: The run's seed.
        statuses: How often callers got each status; 0 for none.
        faults: How often each fault was caused.
        violations: A line for each broken promise.
    """

    seed: int
    statuses: Counter[int]
    faults: Counter[str]
    violations: list[str]


def run_soak(seed: int, seconds: float, hosts: int, folder: Path) -> SoakReport:
    """Runs all programs under faults and checks what was seen.

    Args:
        seed: Decides all chance but the timing of processes. Each fourth has
            planned work only.
        seconds: How long faults are caused.
        hosts: How many hosts.
        folder: For settings and logs.
    """
    return trio.run(_run, seed, seconds, hosts, folder)


async def _run(
    seed: int, seconds: float, hosts: int, folder: Path
) -> SoakReport:
    async with trio.open_nursery() as nursery:
        world = SoakWorld(hosts, folder, random.Random(seed), nursery)
        try:
            await world.start()
            stopped = trio.Event()
            async with trio.open_nursery() as callers:
                for caller in world.make_callers("c"):
                    callers.start_soon(caller.run, stopped)
                schedule = FaultSchedule(world, seed % _ONLY_PLANNED_EVERY == 0)
                with trio.move_on_after(seconds):
                    await schedule.run()
                await trio.sleep(_SETTLE_SECONDS)
                stopped.set()
            unserved = await _check_recovery(world)
        finally:
            world.kill_all()
        nursery.cancel_scope.cancel()
    oracle = Oracle(world.sent, world.runs, world.faults, DEADLINE_SECONDS)
    broken = oracle.iter_violations(
        world.left_at,
        world.withdrawals,
        {host.name: host.availability_zone for host in world.hosts},
        COLD_PER_SECOND * _COLD_MULTIPLIER + _COLD_SLACK,
    )
    return SoakReport(
        seed,
        Counter(request.status for request in world.sent),
        Counter(fault.name for fault in world.faults),
        [*broken, *oracle.iter_late_exits(world.late_exits), *unserved],
    )


async def _check_recovery(world: SoakWorld) -> list[str]:
    """Returns a line for each request that is not served after all faults."""
    unserved = []
    for caller in world.make_callers("r"):
        for _ in range(_FINAL_REQUESTS):
            request = await caller.send()
            if request is None:
                unserved.append("RECOVER no connection")
            elif request.status != 200:
                unserved.append(
                    f"RECOVER {request.request_id}: {request.status}"
                    f" from {request.host}"
                )
    return unserved
