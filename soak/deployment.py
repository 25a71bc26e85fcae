"""The programs and stand-ins of a soak run, and the records of the run."""

import json
import os
import random
from pathlib import Path
from typing import Any

import trio

from demo.process_group import wait_for_http
from soak.caller import Caller
from soak.host import SERVICE, SoakHost
from soak.instance import COLD_SECONDS
from soak.records import Fault, Run, SentRequest
from standins.platform_documents import (
    make_configuration_document,
    make_route_entry,
)
from standins.platform_store import PlatformStore

ZONES = ("a", "b", "c")
# Nodes apply a published configuration within this time.
CONFIGURATION_DELAY_SECONDS = 2.0
COLD_PER_SECOND = 5.0
_START_TIMEOUT_SECONDS = 20.0
_CALLERS_PER_HOST = 2


class SoakDeployment:
    """Hosts in three availability zones, the store and callers.

    Attributes:
        hosts: All hosts.
        store: The stand-in for the platform's store.
        sent: The requests that callers sent.
        runs: The requests that instances ran.
        faults: The injected faults.
        drain_deadlines: When each leaving instance must have started its last
            request, by instance id: 2 s after its departure was acknowledged.
        withdrawals: The zone, start and end of each withdrawal.
        late_exits: The name of each host whose node exceeded its grace period,
            and when it received SIGTERM.
        rng: The random number generator of the run.
        nursery: Runs the stand-ins.
    """

    def __init__(
        self,
        hosts: int,
        folder: Path,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        """Creates a deployment in which nothing runs.

        Args:
            hosts: The number of hosts.
            folder: The folder for settings and logs.
            rng: The random number generator of the run.
            nursery: Runs the stand-ins.
        """
        self.rng = rng
        self.nursery = nursery
        self.store = PlatformStore()
        self.sent: list[SentRequest] = []
        self.runs: list[Run] = []
        self.faults: list[Fault] = []
        self.drain_deadlines: dict[str, float] = {}
        self.withdrawals: list[tuple[str, float, float]] = []
        self.late_exits: list[tuple[str, float]] = []
        self._added_prefixes: list[tuple[float, str]] = []
        self._store_port = 7000
        self._store_ip = f"127.{os.getpid() % 200 + 20}.255.1"
        self.hosts = [
            SoakHost(
                index,
                ZONES[index % len(ZONES)],
                f"{self._store_ip}:{self._store_port}",
                folder,
                self.runs,
                rng,
            )
            for index in range(hosts)
        ]

    async def start(self) -> None:
        """Starts everything and waits until all nodes are ready."""
        self.change_configuration()
        listeners = await trio.open_tcp_listeners(
            self._store_port, host=self._store_ip
        )
        self.nursery.start_soon(
            trio.serve_listeners, self.store.handle, listeners
        )
        for host in self.hosts:
            await host.start_proxies(self.nursery)
            await host.start_instance(self.nursery, is_cold=False)
            host.start_node()
        for host in self.hosts:
            await trio.to_thread.run_sync(
                wait_for_http,
                f"http://{host.readiness_address}/ready",
                _START_TIMEOUT_SECONDS,
            )
        # Instances report twice a second.
        await trio.sleep(1.0)

    def make_callers(self, label: str) -> list[Caller]:
        """Creates callers for all hosts.

        Args:
            label: The prefix of the callers' request ids.
        """
        return [
            Caller(
                f"{label}-{host.name}-{number}",
                host.name,
                host.caller_address,
                self._get_prefixes,
                self.sent,
                self.rng,
            )
            for host in self.hosts
            for number in range(_CALLERS_PER_HOST)
        ]

    def change_configuration(self) -> None:
        """Publishes a configuration with a new path, as operators do."""
        number = len(self._added_prefixes)
        self._added_prefixes.append((trio.current_time(), f"/v{number}/"))
        document = _make_configuration(
            number + 1,
            ["/lanes/", *(prefix for _, prefix in self._added_prefixes)],
        )
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def kill_all(self) -> None:
        """Kills all node processes that were started."""
        for host in self.hosts:
            host.kill()

    def _get_prefixes(self) -> tuple[str, str]:
        published_before = trio.current_time() - CONFIGURATION_DELAY_SECONDS
        in_force = [
            prefix
            for published_at, prefix in self._added_prefixes
            if published_at <= published_before
        ]
        return "/lanes/", (in_force or ["/lanes/"])[-1]


def _make_configuration(version: int, prefixes: list[str]) -> dict[str, Any]:
    route_kinds = {
        "club.example": "idempotent",
        "desk.example": "non_idempotent",
    }
    routes = [
        make_route_entry(
            f"{kind}{prefix}", host, prefix, kind, SERVICE, timeoutMs=2000
        )
        for prefix in prefixes
        for host, kind in route_kinds.items()
    ]
    return make_configuration_document(
        version, routes, SERVICE, COLD_PER_SECOND, COLD_SECONDS
    )
