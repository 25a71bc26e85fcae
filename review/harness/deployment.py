"""A small deployment on loopback addresses."""

import asyncio
import json
import random
import socket
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from harness.http_message import exchange
from harness.machine import REPORT_SECONDS, Machine
from harness.record import Record
from harness.run import Run
from harness.store import Store

COLD_SECONDS = 3.0
COLD_PER_SECOND = 11.0
_START_SECONDS = 30.0


class CannotRunError(Exception):
    """The deployment could not be started."""


class Deployment:
    """Machines, the store and the operator.

    Attributes:
        machines: The machines.
        store: The stand-in for the platform's store.
        runs: What reached the instances.
        record: The record of the run.
    """

    def __init__(
        self,
        machines: Sequence[tuple[str, str, str]],
        folder: Path,
        record: Record,
    ) -> None:
        """Creates a deployment in which nothing runs.

        Args:
            machines: Name, zone and service of each machine.
            folder: A folder for settings and logs.
            record: The record of the run.
        """
        self.record = record
        self.runs: list[Run] = []
        self.store = Store(record)
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0
        for _ in range(50):
            block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            self.machines = [
                Machine(
                    name,
                    zone,
                    f"{block}.{number + 1}",
                    service,
                    folder,
                    self.runs,
                    record,
                )
                for number, (name, zone, service) in enumerate(machines)
            ]
            if all(
                _is_free(address)
                for machine in self.machines
                for address in machine.get_all_addresses()
            ):
                return
        raise CannotRunError("no free ports")

    async def start(self, routes: Iterable[dict[str, Any]]) -> None:
        """Publishes a configuration, and starts everything until it serves.

        Raises:
            CannotRunError: A node isn't ready in time.
        """
        self.publish(routes)
        for machine in self.machines:
            await self.store.listen(machine.name, machine.get_address("store"))
            await machine.instance.start()
            machine.start_node()
        for machine in self.machines:
            await self.wait_until_ready(machine)
        for machine in self.machines:
            await machine.instance.report()
            self.start_task(machine.instance.report_regularly(REPORT_SECONDS))
        # Until all nodes have heard of all instances.
        await asyncio.sleep(2.0)
        self.record.say("the deployment runs")

    async def wait_until_ready(self, machine: Machine) -> None:
        """Waits until a node says that it is ready.

        Raises:
            CannotRunError: It isn't in time.
        """
        deadline = self.record.now() + _START_SECONDS
        while self.record.now() < deadline:
            answer = await exchange(
                machine.get_address("readiness"),
                "GET /ready HTTP/1.1",
                {"Host": "-"},
            )
            if answer is not None and answer.start[1] == "200":
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(
            f"{machine.name} isn't ready:\n{machine.read_log()}"
        )

    def publish(self, routes: Iterable[dict[str, Any]]) -> None:
        """Writes a configuration to the store, as the operator does."""
        self._version += 3
        services = {machine.service for machine in self.machines}
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        resources = [
            *routes,
            *(_make_service(service) for service in sorted(services)),
            {"entryKind": "limits", "metadata": {}, "spec": limits},
        ]
        document = {"version": f"r{self._version}", "resources": resources}
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record.say(f"configuration r{self._version} is acknowledged")

    def start_task(self, coroutine: Any) -> None:
        """Runs something beside the script until the end."""
        self._tasks.append(asyncio.create_task(coroutine))

    async def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for machine in self.machines:
            machine.end_node()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            machine.instance.stop()
        self.store.close()


def make_route(
    name: str, service: str, kind: str = "idempotent"
) -> dict[str, Any]:
    """Returns a route of `club.example` whose path is its name."""
    spec = {
        "host": "club.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    return {"entryKind": "routes", "metadata": {"name": name}, "spec": spec}


def _make_service(name: str) -> dict[str, Any]:
    spec = {
        "healthPath": "/health",
        "maxConnections": 260,
        "protocol": "h1",
        "tls": False,
        "coldStartS": COLD_SECONDS,
        "coldPerS": COLD_PER_SECOND,
    }
    return {"entryKind": "services", "metadata": {"name": name}, "spec": spec}


def _is_free(address: tuple[str, int]) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            return False
    return True
