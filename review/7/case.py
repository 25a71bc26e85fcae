"""After one odd status report, nodes use their processor up at rest."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness2.case import run_case  # noqa: E402
from harness2.deployment import (  # noqa: E402
    CORE_SHARE,
    Deployment,
    make_route,
)
from harness2.record import Record  # noqa: E402
from harness2.requester import Outgoing, Requester  # noqa: E402

SERVICE = "lanes"
HOST = "lanes.example"
ZONES = ("a", "b", "c", "a", "b", "c")
REST_SECONDS = 10.0
# A lone surrogate stands for no character, so that no UTF-8 text can hold it.
UNREADABLE = "v\ud800"
OTHER_ID = "i-other"


async def run(record: Record, has_trouble: bool) -> bool:
    """Runs the case; returns whether the rule was broken."""
    deployment = Deployment(record, [(zone, SERVICE) for zone in ZONES])

    async def measure(label: str) -> list[float]:
        """Returns each process's share of a core while no request is sent."""
        before = [host.get_processor_seconds() for host in deployment.hosts]
        started_at = record.now()
        await asyncio.sleep(REST_SECONDS)
        after = [host.get_processor_seconds() for host in deployment.hosts]
        seconds = record.now() - started_at
        shares = [
            round((end - start) / seconds, 3)
            for start, end in zip(before, after, strict=True)
        ]
        record.write("processor", label=label, shares=shares)
        print(f"{label}: share of a core by node: {shares}")
        return shares

    async def check_served(label: str) -> None:
        for host in deployment.hosts:
            requester = Requester(host.get_address("outbound"), record)
            request_id = f"{label}-{host.name}"
            answer = await requester.send(
                Outgoing(request_id, "GET", HOST, "/lanes/1")
            )
            requester.close()
            print(f"{request_id}: status {answer.status}")

    try:
        for host in deployment.hosts:
            await host.start_instance()
        await deployment.start(
            [make_route("lanes", HOST, "/lanes/", "idempotent", SERVICE)]
        )
        await check_served("before")
        await measure("before")
        instance = deployment.hosts[0].instance
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
            print(f"odd report: status {status}")
        await asyncio.sleep(2.0)
        shares = await measure("after")
        await check_served("after")
        later_shares = await measure("later")
    finally:
        deployment.stop()
    record.write("result", shares=shares, later=later_shares, limit=CORE_SHARE)
    # The machine never gets its processor back while there is nothing to do.
    return min(max(shares), max(later_shares)) >= CORE_SHARE


if __name__ == "__main__":
    run_case(FOLDER, run)
