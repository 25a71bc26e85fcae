"""After one odd status report, a node follows no configuration any more."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness2.case import run_case  # noqa: E402
from harness2.deployment import (  # noqa: E402
    BOUNDS,
    Deployment,
    Host,
    make_route,
)
from harness2.record import Record  # noqa: E402
from harness2.requester import Outgoing, Requester  # noqa: E402

SERVICE = "lanes"
HOST = "lanes.example"
ZONES = ("a", "b", "c") * 4
REST_SECONDS = 5.0
CHANGES = 22
# How long after a change is due requests are sent that need it, and how many.
CHECK_SECONDS = 0.4
REQUESTS = 5
# A lone surrogate stands for no character, so that no UTF-8 text can hold it.
# It is what remains of some characters if a program cuts a text after them.
UNREADABLE = "v1-\ud83d"
OTHER_ID = "i-other"


async def run(record: Record, has_trouble: bool) -> bool:
    """Runs the case; returns whether the rule was broken."""
    deployment = Deployment(record, [(zone, SERVICE) for zone in ZONES])

    async def measure(label: str) -> None:
        """Prints each process's share of a core while no request is sent."""
        before = [host.get_processor_seconds() for host in deployment.hosts]
        await asyncio.sleep(REST_SECONDS)
        after = [host.get_processor_seconds() for host in deployment.hosts]
        shares = [
            round((end - start) / REST_SECONDS, 2)
            for start, end in zip(before, after, strict=True)
        ]
        record.write("processor", label=label, shares=shares)
        print(f"{label}: share of a core by node: {shares}")

    async def count_denied(host: Host, number: int) -> int:
        """Returns how many requests to the newest route get 404."""
        requester = Requester(host.get_address("outbound"), record)
        count = 0
        for index in range(REQUESTS):
            request_id = f"{host.name}-{number}-{index}"
            answer = await requester.send(
                Outgoing(request_id, "GET", HOST, f"/added-{number}/x")
            )
            count += answer.status == 404
            await asyncio.sleep(CHECK_SECONDS / REQUESTS)
        requester.close()
        return count

    routes = [make_route("first", HOST, "/first/", "idempotent", SERVICE)]
    denied: list[int] = []
    denied_beside = 0
    try:
        for host in deployment.hosts:
            await host.start_instance()
        await deployment.start(routes)
        # Of the four nodes of each zone two read the store for the others. The
        # first node of zone `a` is none of them.
        odd_host, beside = deployment.hosts[0], deployment.hosts[1]
        await measure("before")
        instance = odd_host.instance
        assert instance is not None
        if has_trouble:
            # Another writer's report, with a version that can't be read.
            document = instance.make_report("ready")
            instance.sequence -= 1
            document |= {
                "version": UNREADABLE,
                "born": instance.born + 1000,
                "seq": 1,
            }
            status = await instance.post("heartbeat", document, OTHER_ID)
            print(f"odd report to {odd_host.name}: status {status}")
        await asyncio.sleep(2.0)
        await measure("after")
        for number in range(CHANGES):
            name = f"added-{number}"
            routes.append(
                make_route(name, HOST, f"/{name}/", "idempotent", SERVICE)
            )
            deployment.put_configuration(number + 2, routes)
            record.write("configuration_acked", version=number + 2)
            await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 0.05)
            counts = await asyncio.gather(
                count_denied(odd_host, number), count_denied(beside, number)
            )
            denied.append(counts[0])
            denied_beside += counts[1]
    finally:
        deployment.stop()
    record.write("result", denied=denied, denied_beside=denied_beside)
    print(f"404 at {odd_host.name} of {REQUESTS} by change: {denied}")
    print(f"404 at {beside.name}: {denied_beside}")
    return sum(denied) > 0


if __name__ == "__main__":
    run_case(FOLDER, run, os.environ.get("TROUBLE", "1") != "0")
