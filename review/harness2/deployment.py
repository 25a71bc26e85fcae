"""A small deployment on loopback addresses."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from harness2.instance import Instance
from harness2.record import Record
from harness2.store import Store

ROOT = Path(__file__).resolve().parents[2]
# The `run` line of deploy/system.toml.
COMMAND = [
    "python3",
    "-S",
    "-P",
    "target/deps/rhubarbpaddle/__main__.py",
    "platform",
]
BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 60,
    "coldMultiplier": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 15,
    "probesPerS": 60,
}
# The smallest share of a core that a machine has in the grown deployments.
CORE_SHARE = 0.43
COLD_PER_SECOND = 28.0
COLD_SECONDS = 3.0
HEARTBEAT_MS = 1500
_PORTS = {
    "inbound": 8300,
    "app": 8301,
    "readiness": 8302,
    "outbound": 8304,
    "control": 8306,
    "metrics": 9464,
}
_STORE_PORT = 8309
_READY_SECONDS = 20.0


class Host:
    """A machine: a node process and an instance.

    Attributes:
        name: Its name.
        ip: Its address.
        instance: Its instance, or None.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        service: str,
        store: str,
        folder: Path,
        record: Record,
    ) -> None:
        """Creates a machine on which nothing runs."""
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.instance: Instance | None = None
        self._store = store
        self._folder = folder
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None
        self._instances = 0

    def get_address(self, name: str) -> tuple[str, int]:
        """Returns the address of one of its listeners."""
        return self.ip, _PORTS[name]

    def start_node(self, is_first: bool) -> None:
        """Starts the node process with the command of the deploy file."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._make_settings(is_first)))
        keys = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in keys if k in os.environ}
        environment["RHUBARBPADDLE_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = "target/deps"
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self._process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._record.write("node_started", host=self.name)

    def is_running(self) -> bool:
        """Returns whether the node process runs."""
        return self._process is not None and self._process.poll() is None

    def get_processor_seconds(self) -> float:
        """Returns the processor time that the node process has used."""
        assert self._process is not None
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal to the node process."""
        assert self._process is not None
        self._record.write("signal", host=self.name, signal=signum.name)
        self._process.send_signal(signum)

    def kill(self) -> None:
        """Kills the node process and waits for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
            self._record.write("node_killed", host=self.name)

    async def start_instance(self, **options: Any) -> Instance:
        """Starts an instance with a new id."""
        self._instances += 1
        self.instance = Instance(
            self.name,
            self.get_address("app"),
            self.get_address("control"),
            self.service,
            self.zone,
            self._record,
            number=self._instances,
            heartbeat_seconds=HEARTBEAT_MS / 1000,
            **options,
        )
        return self.instance

    async def wait_until_ready(self) -> None:
        """Waits until the readiness check succeeds."""
        async with asyncio.timeout(_READY_SECONDS):
            while await self._get_readiness() != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def _get_readiness(self) -> int:
        try:
            reader, writer = await asyncio.open_connection(
                *self.get_address("readiness")
            )
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return int(line.split(b" ")[1])
        except (OSError, IndexError, ValueError):
            return 0

    def _make_settings(self, is_first: bool) -> dict[str, Any]:
        listen = {
            name: f"{self.ip}:{_PORTS[name]}"
            for name in ("inbound", "outbound", "readiness", "control")
        }
        return {
            "local": {
                "node": self.name,
                "role": "node",
                "machineClass": "sidecar",
                "serves": ["sidecar"],
                "ip": self.ip,
                "zone": self.zone,
                "region": "r",
                "faultCounted": False,
                "bootstrap": is_first,
                "dataDir": None,
                "limits": {
                    "cpuShare": CORE_SHARE,
                    "cores": 1,
                    "memoryMb": 300,
                    "maxFds": 4100,
                    "linkMbps": 1000.0,
                    "diskMb": 0,
                },
                "appAddr": f"{self.ip}:{_PORTS['app']}",
                "service": self.service,
            },
            "network": {
                "listen": listen,
                "portRange": [7620, 7635],
                "seeds": [],
                "zones": {"a": "r", "b": "r", "c": "r"},
            },
            "platform": {
                "discovery": "static",
                "entry": "static",
                "heartbeatMs": HEARTBEAT_MS,
                "platform": {
                    "address": self._store,
                    "form": "log",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                },
            },
            "terms": {
                "contracts": [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "retry",
                    "recover",
                    "health",
                    "places",
                    "platform",
                ],
                "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
            },
        }


class Deployment:
    """Machines, the store, and a folder for settings and logs."""

    def __init__(
        self, record: Record, hosts: Sequence[tuple[str, str]]
    ) -> None:
        """Creates a deployment in which nothing runs.

        Args:
            record: The record of the run.
            hosts: The zone and the service of each machine.
        """
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = record
        prefix = _find_free_prefix(len(hosts))
        self._store_ip = f"{prefix}.250"
        self.hosts = [
            Host(
                f"h{index}",
                f"{prefix}.{index + 1}",
                zone,
                service,
                f"{self._store_ip}:{_STORE_PORT}",
                self.folder,
                record,
            )
            for index, (zone, service) in enumerate(hosts)
        ]

    async def start(
        self, routes: Sequence[dict[str, Any]], count: int | None = None
    ) -> None:
        """Starts the store, nodes, and the instances that were created.

        Args:
            routes: The routes of the first configuration.
            count: The number of machines that start; None for all.
        """
        await self.store.start(self._store_ip, _STORE_PORT)
        self.put_configuration(1, routes)
        hosts = self.hosts[:count]
        for host in hosts:
            host.start_node(True)
        for host in hosts:
            if host.instance is not None:
                await host.instance.start()
        for host in hosts:
            await host.wait_until_ready()
        # Each instance has reported, and all nodes know all instances.
        await asyncio.sleep(2 * HEARTBEAT_MS / 1000)
        self._record.write("started")

    def put_configuration(
        self, version: int, routes: Sequence[dict[str, Any]]
    ) -> None:
        """Writes a configuration, as the operator does."""
        services = sorted({host.service for host in self.hosts})
        document = {
            "version": f"r{version}",
            "resources": [
                *routes,
                *(
                    {
                        "entryKind": "services",
                        "metadata": {"name": service},
                        "spec": {
                            "healthPath": "/health",
                            "maxConnections": 240,
                            "protocol": "h1",
                            "tls": False,
                            "coldStartS": COLD_SECONDS,
                            "coldPerS": COLD_PER_SECOND,
                        },
                    }
                    for service in services
                ),
                {
                    "entryKind": "limits",
                    "metadata": {},
                    "spec": {
                        "maxHeaderBytes": 16384,
                        "maxBodyBytes": 67108864,
                        "headerTimeoutMs": 3000,
                        "idleTimeoutMs": 15000,
                    },
                },
            ],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def stop(self) -> None:
        """Ends all processes and removes the folder."""
        for host in self.hosts:
            host.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(
    name: str, host: str, prefix: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Returns a route of a configuration."""
    spec = {
        "host": host,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **changes,
    }
    return {"entryKind": "routes", "metadata": {"name": name}, "spec": spec}


def _find_free_prefix(count: int) -> str:
    """Returns the first three bytes of loopback addresses that are free."""
    for attempt in range(200):
        number = (os.getpid() * 7 + attempt) % 200
        prefix = f"127.{50 + number}.{attempt % 250}"
        try:
            for index in range(count):
                for port in _PORTS.values():
                    _check_free(f"{prefix}.{index + 1}", port)
            _check_free(f"{prefix}.250", _STORE_PORT)
        except OSError:
            continue
        return prefix
    raise OSError("no free loopback addresses")


def _check_free(ip: str, port: int) -> None:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, port))
