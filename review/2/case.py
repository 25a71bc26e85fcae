"""DRAIN: a departure is ignored after another writer's status report."""

import asyncio
import time
from pathlib import Path

from harness.case import run_case
from harness.deployment import Deployment, make_route
from harness.machine import BOUNDS

_MACHINES = (("n1", "costa-a", "lanes"), ("n2", "costa-b", "lanes"))
_PER_SECOND = 20.0
# How long the instance serves after its departure was acknowledged.
_LEAVING_SECONDS = 6.0


async def _play(deployment: Deployment, has_trouble: bool) -> bool:
    await deployment.start([make_route("avail", "lanes")])
    record = deployment.record
    leaving = deployment.machines[0].instance
    for machine in deployment.machines:
        deployment.start_task(
            machine.requester.send_regularly("/avail/x", _PER_SECOND)
        )
    await asyncio.sleep(2.0)
    if has_trouble:
        await _send_odd_report(deployment)
    await asyncio.sleep(2.0)
    leaving.state = "draining"
    leaving.leaving = True
    if not await leaving.report():
        raise RuntimeError("the departure was not acknowledged")
    acknowledged_at = record.now()
    record.say(f"{leaving.instance_id} is draining, acknowledged")
    await asyncio.sleep(_LEAVING_SECONDS)
    bound = acknowledged_at + BOUNDS["drainMs"] / 1000
    late = [
        run
        for run in deployment.runs
        if run.instance == leaving.instance_id and run.at > bound
    ]
    record.say(f"requests that reached it later than drainMs: {len(late)}")
    for run in late[:3]:
        record.say(f"{run.request_id}: {run.at - acknowledged_at:.3f} s later")
    await leaving.deregister()
    return bool(late)


async def _send_odd_report(deployment: Deployment) -> None:
    """Reports an instance of a service that no configuration names."""
    node = deployment.machines[0]
    report = {
        **node.instance.make_report(),
        "service": "unnamed",
        "address": "127.0.0.1:9",
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    acknowledged = await node.instance.send_foreign("i-other", report)
    deployment.record.say(
        f"a report of i-other, service=unnamed, acknowledged={acknowledged}"
    )


run_case(Path(__file__).parent, _MACHINES, _play)
