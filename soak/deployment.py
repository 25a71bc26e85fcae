"""All programs and stand-ins of a soak, and what was seen of them."""

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
CONFIG_SECONDS = 2.0
COLD_PER_SECOND = 5.0
_START_SECONDS = 20.0
_CALLERS_PER_HOST = 2


class SoakWorld:
    """Hosts in three zones, the store, callers and the operators' state.

    Attributes:
        hosts: All hosts.
        store: The stand-in of the platform's store.
        sent: What callers have sent.
        runs: What instances have run.
        faults: What the soak has caused.
        left_at: When each leaving instance's departure was acknowledged.
        withdrawals: Zones, and from and until when they are out of service.
        late_exits: Hosts whose node outlived its grace time, and when it was
            told to stop.
        rng: The source of all chance.
        nursery: Runs the stand-ins.
    """

    def __init__(
        self,
        hosts: int,
        folder: Path,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        """Makes a world in which nothing runs.

        Args:
            hosts: How many hosts.
            folder: For settings and logs.
            rng: The source of all chance.
            nursery: Runs the stand-ins.
        """
        self.rng = rng
        self.nursery = nursery
        self.store = PlatformStore()
        self.sent: list[SentRequest] = []
        self.runs: list[Run] = []
        self.faults: list[Fault] = []
        self.left_at: dict[str, float] = {}
        self.withdrawals: list[tuple[str, float, float]] = []
        self.late_exits: list[tuple[str, float]] = []
        self._versions: list[tuple[float, str]] = []
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
                _START_SECONDS,
            )
        # Instances report twice a second.
        await trio.sleep(1.0)

    def make_callers(self, label: str) -> list[Caller]:
        """Returns callers for each host, whose ids begin with a label."""
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
        """Adds a route for each kind, as operators do."""
        number = len(self._versions)
        self._versions.append((trio.current_time(), f"/v{number}/"))
        document = _make_configuration(
            number + 1, ["/lanes/", *(prefix for _, prefix in self._versions)]
        )
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def kill_all(self) -> None:
        """Ends all node processes that were started."""
        for host in self.hosts:
            host.kill()

    def _get_prefixes(self) -> tuple[str, str]:
        latest = trio.current_time() - CONFIG_SECONDS
        accepted = [prefix for at, prefix in self._versions if at <= latest]
        return "/lanes/", (accepted or ["/lanes/"])[-1]


def _make_configuration(version: int, prefixes: list[str]) -> dict[str, Any]:
    kinds = {"club.example": "idempotent", "desk.example": "non_idempotent"}
    routes = [
        make_route_entry(
            f"{kind}{prefix}", host, prefix, kind, SERVICE, timeoutMs=2000
        )
        for prefix in prefixes
        for host, kind in kinds.items()
    ]
    return make_configuration_document(
        version, routes, SERVICE, COLD_PER_SECOND, COLD_SECONDS
    )
