"""Runs the soak test with one seed and checks the results."""

import random
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import trio

from soak.caller import DEADLINE_SECONDS, Caller
from soak.deployment import COLD_PER_SECOND, SoakDeployment
from soak.fault_effects import FaultEffects
from soak.fault_schedule import FaultSchedule
from soak.link_oracle import LinkOracle
from soak.oracle import Oracle
from soak.organisation_oracle import OrganisationOracle
from soak.records import SentRequest
from soak.rollout_course import RolloutCourse
from soak.rollout_oracle import RolloutOracle

# The time in which faults end, cached connection failures expire and cold
# instances warm up.
_SETTLE_SECONDS = 8.0
_RECOVERY_REQUESTS = 5
# The platform's limit for a cold instance in the standard deployments: its rate
# times the multiplier, plus the slack, in requests per second.
_COLD_MULTIPLIER = 1.5
_COLD_SLACK = 5.0
_PLANNED_ONLY_DIVISOR = 4


class SoakReport(NamedTuple):
    """The results of one run.

    Attributes:
        seed: The seed of the run.
        statuses: How often callers got each status; 0 means no response.
        kinds: How often callers got large and pipelined responses.
        faults: How often each fault was injected.
        violations: A line for each violation of a guarantee.
    """

    seed: int
    statuses: Counter[int]
    kinds: Counter[str]
    faults: Counter[str]
    violations: list[str]


def run_soak(seed: int, seconds: float, hosts: int, folder: Path) -> SoakReport:
    """Runs a deployment under faults and checks all guarantees.

    Args:
        seed: Determines all random choices, but not the timing of processes.
            Every fourth seed runs planned operations only.
        seconds: How long faults are injected.
        hosts: The number of hosts.
        folder: The folder for settings and logs.
    """
    return trio.run(_run, seed, seconds, hosts, folder)


async def _run(
    seed: int, seconds: float, hosts: int, folder: Path
) -> SoakReport:
    async with trio.open_nursery() as nursery:
        deployment = SoakDeployment(hosts, folder, random.Random(seed), nursery)
        try:
            await deployment.start()
            stopped = trio.Event()
            async with trio.open_nursery() as caller_nursery:
                for caller in deployment.make_callers("c"):
                    caller_nursery.start_soon(caller.run, stopped)
                schedule = FaultSchedule(
                    deployment, seed % _PLANNED_ONLY_DIVISOR == 0, seed
                )
                caller_nursery.start_soon(deployment.surge, seed)
                course = RolloutCourse(
                    deployment, schedule.busy_hosts, seed, seconds
                )
                caller_nursery.start_soon(course.run)
                with trio.move_on_after(seconds):
                    await schedule.run()
                # Withdraws keys, whatever changes the faults made.
                deployment.change_configuration()
                await trio.sleep(_SETTLE_SECONDS)
                stopped.set()
            failures = await _check_recovery(deployment)
        finally:
            deployment.kill_all()
        nursery.cancel_scope.cancel()
    effects = FaultEffects(deployment.faults)
    oracle = Oracle(deployment.sent, deployment.runs, effects, DEADLINE_SECONDS)
    organisation_oracle = OrganisationOracle(
        deployment.sent,
        deployment.runs,
        effects,
        deployment.configurations.cap,
    )
    rollout = course.get_record()
    rollout_oracle = RolloutOracle(
        deployment.runs, rollout, course.read_states()
    )
    violations = oracle.iter_violations(
        deployment.drain_deadlines,
        deployment.withdrawals,
        {
            host.name: host.availability_zone
            for host in (*deployment.hosts, *deployment.target_hosts)
        },
        COLD_PER_SECOND * _COLD_MULTIPLIER + _COLD_SLACK,
    )
    return SoakReport(
        seed,
        Counter(request.status for request in deployment.sent),
        Counter(_iter_kinds(deployment.sent)),
        Counter(fault.name for fault in deployment.faults),
        [
            *violations,
            *organisation_oracle.iter_violations(),
            *rollout_oracle.iter_violations(),
            *oracle.iter_late_exits(deployment.late_exits),
            *LinkOracle(folder).iter_violations(),
            *failures,
        ],
    )


def _iter_kinds(sent: Iterable[SentRequest]) -> Iterator[str]:
    for request in sent:
        if request.status == 200 and request.large_length:
            yield "large"
        if request.status == 200 and request.is_pipelined:
            yield "pipelined"


async def _check_recovery(deployment: SoakDeployment) -> list[str]:
    """Returns a line for each request that fails after all faults ended."""
    failures: list[str] = []
    async with trio.open_nursery() as nursery:
        for caller in deployment.make_callers("r"):
            nursery.start_soon(_check_caller, caller, failures)
    return failures


async def _check_caller(caller: Caller, failures: list[str]) -> None:
    for _ in range(_RECOVERY_REQUESTS):
        request = await caller.send()
        if request is None:
            failures.append("RECOVER no connection")
        elif request.status != 200:
            failures.append(
                f"RECOVER {request.request_id}: {request.status}"
                f" from {request.host}"
            )
