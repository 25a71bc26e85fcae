"""A change of the configuration just after machines lost their power."""

import asyncio
from pathlib import Path

from harness3.configuration import (
    make_configuration,
    make_route,
    make_service,
)
from harness3.machine import ZONES
from harness3.requester import send_request
from harness3.world import World, run_case

_SERVICES = ("lanes", "reservas")
_MACHINES_PER_ZONE = 4
# `configApplyMs` of SYSTEM.md.
_APPLY_SECONDS = 2.0
_POLL_SECONDS = 4.0
_DARK_SECONDS = 4.0
_WATCH_SECONDS = 2.0
_REQUEST_INTERVAL = 0.05
_DEADLINE_MS = 500


def _make(version: int, service: str) -> bytes:
    route = make_route("avail", "/avail/", "idempotent", service)
    services = [make_service(name) for name in _SERVICES]
    return make_configuration(version, [route, *services])


async def _run(world: World, trouble: bool) -> list[str]:
    for index in range(len(ZONES) * _MACHINES_PER_ZONE):
        zone = ZONES[index % len(ZONES)]
        world.add_machine(zone, _SERVICES[index // len(ZONES) % 2])
    world.store.write("config", _make(3, "lanes"))
    await world.start()
    await asyncio.sleep(8.0)
    oldest = world.record.now() - _POLL_SECONDS
    dark = [
        machine
        for machine in world.machines
        if world.store.polled_at.get(machine.store_port, 0.0) > oldest
    ]
    others = [machine for machine in world.machines if machine not in dark]
    world.record.add(
        "machines",
        dark=[(machine.name, machine.service) for machine in dark],
        others=[(machine.name, machine.service) for machine in others],
    )
    sent_at: dict[str, float] = {}

    async def send_at(address: str) -> None:
        while True:
            outcome = await send_request(
                address,
                world.record,
                "/avail/1",
                deadline_ms=_DEADLINE_MS,
            )
            sent_at[outcome.request_id] = outcome.sent_at
            await asyncio.sleep(_REQUEST_INTERVAL)

    tasks = [
        asyncio.create_task(send_at(machine.address("outbound")))
        for machine in others
    ]
    await asyncio.sleep(2.0)
    if trouble:
        for machine in dark:
            machine.lose_power()
    await asyncio.sleep(0.1)
    world.store.write("config", _make(7, "reservas"))
    acked_at = world.record.now()
    await asyncio.sleep(_DARK_SECONDS)
    if trouble:
        for machine in dark:
            machine.end_all()
            machine.start()
    await asyncio.sleep(_WATCH_SECONDS)
    for task in tasks:
        task.cancel()

    later = {
        request_id
        for request_id, at in sent_at.items()
        if at > acked_at + _APPLY_SECONDS
    }
    late = [
        run
        for run in world.runs
        if run.service == "lanes" and run.request_id in later
    ]
    world.record.add(
        "result", sent_later=len(later), run_by_the_old_service=len(late)
    )
    if not late:
        return []
    return [
        f"CONFIG: r7 moved the route to reservas and was acknowledged at "
        f"{acked_at:.2f}; of {len(later)} requests sent over "
        f"{_APPLY_SECONDS} s later at machines in touch, {len(late)} were run "
        f"by lanes, the last at {late[-1].at:.2f}"
    ]


run_case(Path(__file__).parent, _run)
