"""UNASKED: a request that is sent again arrives without its body."""

import asyncio
from pathlib import Path

from harness.case import run_case
from harness.deployment import Deployment, make_route

_MACHINES = (
    ("n1", "costa-a", "lanes"),
    ("n2", "costa-b", "lanes"),
    ("n3", "costa-c", "coaching"),
)
# Of each machine.
_PER_SECOND = 35.0
_WORK_SECONDS = 0.02
_BODY = b"the bytes of the requester"
# `garble`: 0.02 of the answers of half of the instances, for at most 6 s.
_TRUNCATES_EVERY = 50
_FAULT_SECONDS = 6.0


async def _play(deployment: Deployment, has_trouble: bool) -> bool:
    await deployment.start([make_route("avail", "lanes")])
    record = deployment.record
    for machine in deployment.machines:
        machine.instance.work_seconds = _WORK_SECONDS
        deployment.start_task(
            machine.requester.send_regularly(
                "/avail/x", _PER_SECOND, "PUT", _BODY, chunked=True
            )
        )
    await asyncio.sleep(1.0)
    faulty = deployment.machines[0].instance
    if has_trouble:
        faulty.truncates_every = _TRUNCATES_EVERY
        record.say(f"{faulty.instance_id} truncates some answers")
    await asyncio.sleep(_FAULT_SECONDS)
    faulty.truncates_every = 0
    await asyncio.sleep(2.0)
    changed = [run for run in deployment.runs if run.body != _BODY]
    record.say(
        f"{len(deployment.runs)} requests reached instances,"
        f" {len(changed)} of them with another body"
    )
    for run in changed[:3]:
        record.say(f"{run.request_id} at {run.instance}: body {run.body!r}")
    answers = {
        answer.request_id: answer
        for machine in deployment.machines
        for answer in machine.requester.answers
    }
    statuses = [
        answers[run.request_id].status
        for run in changed
        if run.request_id in answers
    ]
    record.say(f"answers to these: {statuses}")
    return bool(changed)


run_case(Path(__file__).parent, _MACHINES, _play)
