"""Configurations written after the store came back from a copy."""

import asyncio
from pathlib import Path

from harness3.configuration import (
    make_configuration,
    make_route,
    make_service,
)
from harness3.requester import send_request
from harness3.world import World, run_case

_SERVICES = [make_service("lanes"), make_service("reservas")]
# `configApplyMs`, and `skewMaxMs` for a core that was not stable, of SYSTEM.md.
_APPLY_SECONDS = 2.0 + 5.0
_AWAY_SECONDS = 1.0
_COPY_AGE_SECONDS = 3.0
_WATCH_SECONDS = 25.0
_REQUEST_INTERVAL = 0.2


def _make(version: int, service: str, timeout_ms: int = 1200) -> bytes:
    route = make_route(
        "book", "/book/", "non_idempotent", service, timeoutMs=timeout_ms
    )
    return make_configuration(version, [route, *_SERVICES])


async def _request_all(world: World, sent_at: dict[str, float]) -> None:
    """Sends requests at each machine until cancelled.

    Args:
        world: The deployment.
        sent_at: Gets the time at which each request was sent.
    """

    async def send_at(address: str) -> None:
        while True:
            outcome = await send_request(
                address, world.record, "/book/1", "POST", b"lane 4"
            )
            sent_at[outcome.request_id] = outcome.sent_at
            await asyncio.sleep(_REQUEST_INTERVAL)

    async with asyncio.TaskGroup() as group:
        for machine in world.machines:
            group.create_task(send_at(machine.address("outbound")))


async def _run(world: World, trouble: bool) -> list[str]:
    store = world.store
    for zone in ("costa-a", "costa-b"):
        for service in ("lanes", "reservas"):
            world.add_machine(zone, service)
    store.write("config", _make(3, "lanes"))
    await world.start()
    await asyncio.sleep(5.0)
    sent_at: dict[str, float] = {}
    requests = asyncio.create_task(_request_all(world, sent_at))
    await asyncio.sleep(3.0)

    # Three versions in quick succession, which change a timeout.
    copy = store.copy()
    for version in (5, 6, 9):
        store.write("config", _make(version, "lanes", 1200 + version))
        await asyncio.sleep(0.5)
    await asyncio.sleep(_COPY_AGE_SECONDS - 1.5)
    if trouble:
        store.go_away()
        await asyncio.sleep(_AWAY_SECONDS)
        store.come_back(copy)
        # The newest value of the only key that was lost is written again.
        store.write("config", _make(9, "lanes", 1209))
    # Nodes have long enough to find the store again: the core is stable.
    await asyncio.sleep(8.0)
    store.write("config", _make(12, "reservas"))
    acked_at = world.record.now()
    await asyncio.sleep(_WATCH_SECONDS)
    requests.cancel()

    late = [
        run
        for run in world.runs
        if run.service == "lanes"
        and sent_at.get(run.request_id, 0.0) > acked_at + _APPLY_SECONDS
    ]
    total = sum(at > acked_at + _APPLY_SECONDS for at in sent_at.values())
    world.record.add(
        "result", sent_later=total, run_by_the_old_service=len(late)
    )
    if not late:
        return []
    return [
        f"CONFIG: r12 moved the route to reservas and was acknowledged at "
        f"{acked_at:.2f}; of {total} requests sent over {_APPLY_SECONDS} s "
        f"later, {len(late)} were run by lanes, the last at {late[-1].at:.2f}"
    ]


run_case(Path(__file__).parent, _run)
