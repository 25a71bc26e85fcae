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
_REQUESTS = 40
_INTERVAL_SECONDS = 0.1
_BODY = b"the bytes of the requester"


async def _play(deployment: Deployment, has_trouble: bool) -> bool:
    await deployment.start([make_route("avail", "lanes")])
    record = deployment.record
    faulty = deployment.machines[0].instance
    if has_trouble:
        faulty.truncates = True
        record.say(f"{faulty.instance_id} truncates its answers")
    for _ in range(_REQUESTS):
        for machine in deployment.machines:
            await machine.requester.send(
                "/avail/x", "PUT", body=_BODY, chunked=True
            )
        await asyncio.sleep(_INTERVAL_SECONDS)
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
    statuses = [answers[run.request_id].status for run in changed]
    record.say(f"answers to these: {statuses}")
    return bool(changed)


run_case(Path(__file__).parent, _MACHINES, _play)
