"""A small deployment: a store, machines and their instances."""

import asyncio
import os
import shutil
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn

from harness3.instance import Instance, Run
from harness3.machine import HEARTBEAT_MS, Machine
from harness3.record import Record
from harness3.store import Store

_LIMIT_SECONDS = 110
_STORE_PORT = 8309


class World:
    """What runs during a case.

    Attributes:
        record: The record of the case.
        store: The platform's store.
        machines: The machines.
        instances: The newest instance of each machine.
        runs: All runs of all instances.
    """

    def __init__(self, record: Record, folder: Path) -> None:
        """Creates a deployment without machines."""
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.machines: list[Machine] = []
        self.instances: dict[str, Instance] = {}
        self.runs: list[Run] = []
        pid = os.getpid()
        self._store_ip = f"127.{pid % 200 + 20}.{pid // 200 % 250}.250"

    def add_machine(self, zone: str, service: str) -> Machine:
        """Adds a machine on which nothing runs."""
        number = len(self.machines) + 1
        machine = Machine(
            number,
            zone,
            service,
            f"{self._store_ip}:{_STORE_PORT + number}",
            self.folder,
            self.record,
        )
        self.machines.append(machine)
        return machine

    async def start(self, bounds: dict[str, Any] | None = None) -> None:
        """Starts the store, all instances and all nodes."""
        for machine in self.machines:
            # Each machine has a port of its own, so that a case can tell
            # which of them poll the store.
            await self.store.serve(self._store_ip, machine.store_port)
            machine.start(bounds)
        for machine in self.machines:
            await machine.wait_ready()
            await self.start_instance(machine, f"i-{machine.name}-1")

    async def start_instance(
        self, machine: Machine, instance_id: str, born: int = 0
    ) -> Instance:
        """Starts an instance on a machine."""
        instance = Instance(
            instance_id,
            machine.service,
            machine.zone,
            self.record,
            self.runs,
            born=born,
        )
        self.instances[machine.name] = instance
        await instance.start(
            machine.ip,
            machine.instance_port,
            machine.address("control"),
            HEARTBEAT_MS / 1000,
        )
        return instance

    def end(self) -> None:
        """Ends all processes."""
        for machine in self.machines:
            machine.end_all()


def run_case(
    folder: Path, case: Callable[[World, bool], Awaitable[list[str]]]
) -> None:
    """Runs a case and exits with 1 if a rule was broken, 0 if none was.

    It exits with 2 if the case could not run.

    Args:
        folder: The folder of the case.
        case: Runs it in a deployment, with or without the disruption, and
            returns what broke the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("case", folder=folder.name, trouble=trouble)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    world = World(record, temporary)

    async def run() -> list[str]:
        async with asyncio.timeout(_LIMIT_SECONDS):
            return await case(world, trouble)

    broken: list[str] | None = None
    try:
        broken = asyncio.run(run())
    except Exception as exc:
        record.add("case_failed", reason=repr(exc))
        print(f"the case could not run: {exc!r}")
    finally:
        world.end()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    if broken is None:
        _exit(2)
    for line in broken:
        record.add("broken", what=line)
        print(line)
    record.add("end", broken=len(broken))
    print(f"{'broken' if broken else 'held'} (trouble={trouble})")
    _exit(1 if broken else 0)


def _exit(status: int) -> NoReturn:
    """Exits without closing what is still open on the ended event loop."""
    sys.stdout.flush()
    os._exit(status)
