"""An upload that crashes the instances that run it, among sound uploads."""

import asyncio
import secrets
from pathlib import Path

from harness3.configuration import (
    make_configuration,
    make_route,
    make_service,
)
from harness3.http_message import HttpMessage
from harness3.instance import Instance
from harness3.machine import Machine
from harness3.requester import send_request
from harness3.world import World, run_case

_SERVICES = [make_service("lanes"), make_service("coaching")]
_TARGET = "/video/up"
_BODY_BYTES = 24 * 1024
_CRASHING_BODY = b"frames that crash the decoder. " * 800
_CONTACT_SECONDS = 3.0
_TOLERATED = 3
_BACK_SECONDS = 2.0
_CRASHING_INTERVAL = 4.0
_SOUND_INTERVAL = 0.25
_SECONDS = 80.0


class _Crashes:
    """Lets instances crash when they run the upload.

    Attributes:
        at: When each instance crashed.
    """

    def __init__(self, world: World) -> None:
        self.at: list[float] = []
        self._world = world
        self._starts: set[asyncio.Task[None]] = set()

    def watch(self, machine: Machine) -> None:
        """Lets the newest instance of a machine crash."""
        instance = self._world.instances[machine.name]

        async def answer(
            request: HttpMessage, writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(0.1)
            if request.body == _CRASHING_BODY:
                self.at.append(self._world.record.now())
                await instance.crash()
                task = asyncio.create_task(self._start(machine, instance))
                self._starts.add(task)
                return False
            request_id = request.headers["request-id"]
            instance.write_success(writer, request_id)
            return True

        instance.answer = answer

    async def _start(self, machine: Machine, crashed: Instance) -> None:
        await asyncio.sleep(_BACK_SECONDS)
        name, _, number = crashed.instance_id.rpartition("-")
        await self._world.start_instance(machine, f"{name}-{int(number) + 1}")
        self.watch(machine)


async def _run(world: World, trouble: bool) -> list[str]:
    for zone in ("costa-a", "costa-b"):
        for service in ("coaching", "coaching", "lanes"):
            world.add_machine(zone, service)
    route = make_route("video", "/video/", "upload", "coaching")
    world.store.write("config", make_configuration(3, [route, *_SERVICES]))
    await world.start()
    crashes = _Crashes(world)
    for machine in world.machines:
        if machine.service == "coaching":
            crashes.watch(machine)
    await asyncio.sleep(5.0)
    callers = [
        machine for machine in world.machines if machine.service == "lanes"
    ]
    sent: list[str] = []

    async def send_sound(address: str) -> None:
        while True:
            body = secrets.token_bytes(_BODY_BYTES)
            await send_request(
                address, world.record, _TARGET, "POST", body, chunked=True
            )
            await asyncio.sleep(_SOUND_INTERVAL)

    async def send_crashing(address: str) -> None:
        while True:
            await asyncio.sleep(_CRASHING_INTERVAL)
            outcome = await send_request(
                address,
                world.record,
                _TARGET,
                "POST",
                _CRASHING_BODY,
                chunked=True,
            )
            world.record.add("crashing_upload", id=outcome.request_id)
            sent.append(outcome.request_id)

    tasks = [
        asyncio.create_task(send_sound(machine.address("outbound")))
        for machine in callers
    ]
    if trouble:
        address = callers[0].address("outbound")
        tasks.append(asyncio.create_task(send_crashing(address)))
    await asyncio.sleep(_SECONDS)
    for task in tasks:
        task.cancel()

    if len(crashes.at) < _TOLERATED:
        world.record.add("result", crashes=len(crashes.at), later=0)
        return []
    since = crashes.at[_TOLERATED - 1] + _CONTACT_SECONDS
    ids = set(sent)
    later = {
        run.request_id
        for run in world.runs
        if run.request_id in ids and run.at > since
    }
    world.record.add("result", crashes=len(crashes.at), later=len(later))
    if len(later) <= _TOLERATED:
        return []
    return [
        f"BUDGET: the upload crashed {len(crashes.at)} instances; "
        f"{len(later)} of its retries reached instances later than "
        f"{_CONTACT_SECONDS} s after it had crashed the third"
    ]


run_case(Path(__file__).parent, _run)
