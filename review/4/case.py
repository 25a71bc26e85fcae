"""DRAIN: a departed instance is in use again after its node's restart."""

import asyncio
from pathlib import Path

from harness.case import run_case
from harness.deployment import Deployment, make_route
from harness.machine import BOUNDS

_MACHINES = (("n1", "costa-a", "lanes"), ("n2", "costa-b", "lanes"))
_PER_SECOND = 20.0
# From the acknowledgement to the kill of the node, and until it starts again.
_KILL_SECONDS = 0.3
_DOWN_SECONDS = 0.5
# How late the last report from before the departure arrives.
_REPORT_DELAY_SECONDS = 2.5
# How long the instance serves after its departure was acknowledged.
_LEAVING_SECONDS = 10.0
# Until a node that was started again has read its settings and listens.
_START_MARGIN_SECONDS = 0.5


async def _play(deployment: Deployment, has_trouble: bool) -> bool:
    await deployment.start([make_route("avail", "lanes")])
    record = deployment.record
    node = deployment.machines[0]
    leaving = node.instance
    for machine in deployment.machines:
        deployment.start_task(
            machine.requester.send_regularly("/avail/x", _PER_SECOND)
        )
    await asyncio.sleep(2.0)
    leaving.is_reporting = False
    delayed = leaving.make_report()
    record.say(f"report seq={delayed['seq']} is sent, and delayed on its way")
    leaving.leaving = True
    if not await leaving.deregister():
        raise RuntimeError("the departure was not acknowledged")
    acknowledged_at = record.now()
    bound = acknowledged_at + BOUNDS["drainMs"] / 1000
    await asyncio.sleep(_KILL_SECONDS)
    if has_trouble:
        await node.kill_and_restart(_DOWN_SECONDS)
        in_touch_at = record.now() + _START_MARGIN_SECONDS
        bound = max(bound, in_touch_at + BOUNDS["contactMs"] / 1000)
    await asyncio.sleep(acknowledged_at + _REPORT_DELAY_SECONDS - record.now())
    await leaving.send_report(delayed)
    record.say(f"report seq={delayed['seq']} arrives")
    await asyncio.sleep(acknowledged_at + _LEAVING_SECONDS - record.now())
    late = [
        run
        for run in deployment.runs
        if run.instance == leaving.instance_id and run.at > bound
    ]
    record.say(
        f"requests that reached it later than {bound - acknowledged_at:.3f} s"
        f" after the acknowledgement: {len(late)}"
    )
    for run in late[:3]:
        record.say(f"{run.request_id}: {run.at - acknowledged_at:.3f} s later")
    leaving.stop()
    return bool(late)


run_case(Path(__file__).parent, _MACHINES, _play)
