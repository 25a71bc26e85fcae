"""A sidecar machine: a node process, started as the deploy file says."""

import asyncio
import json
import os
import shlex
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from harness3.record import Record

ROOT = Path(__file__).resolve().parents[2]
_PORTS = {"inbound": 8300, "outbound": 8304, "readiness": 8302, "control": 8306}
_INSTANCE_PORT = 8301
ZONES = ("costa-a", "costa-b", "costa-c")
HEARTBEAT_MS = 1500

# The bounds of SYSTEM.md.
BOUNDS = {
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


class Machine:
    """One machine with an address of its own in the loopback range.

    Attributes:
        name: Its name.
        ip: Its address.
        zone: Its zone.
        service: The service of its instance.
        store_address: The `IP:PORT` at which its node calls the store.
        process: The node's newest process, or None.
    """

    def __init__(
        self,
        number: int,
        zone: str,
        service: str,
        store_address: str,
        folder: Path,
        record: Record,
    ) -> None:
        """Creates a machine on which nothing runs."""
        self.name = f"sidecar-{zone}-{number}"
        self.zone = zone
        self.service = service
        self.ip = (
            f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{number}"
        )
        self.process: subprocess.Popen[bytes] | None = None
        self._processes: list[subprocess.Popen[bytes]] = []
        self.store_address = store_address
        self._folder = folder
        self._record = record
        self._first = True

    def address(self, name: str) -> str:
        """Returns the `IP:PORT` of one of the node's interfaces."""
        return f"{self.ip}:{_PORTS[name]}"

    @property
    def instance_port(self) -> int:
        """The port of the instance at the machine's address."""
        return _INSTANCE_PORT

    @property
    def store_port(self) -> int:
        """The port at which its node calls the store."""
        return int(self.store_address.rpartition(":")[2])

    def start(self, bounds: dict[str, Any] | None = None) -> None:
        """Starts the node process."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._make_settings(bounds or {})))
        self._first = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        environment = {
            **os.environ,
            "RHUBARBPADDLE_SETTINGS": str(path),
            "PYTHONPATH": "target/deps",
        }
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                command,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=ROOT,
            )
        self._processes.append(self.process)
        self._record.add("node_started", name=self.name, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the node process."""
        assert self.process is not None
        self.process.send_signal(number)
        self._record.add("signal", name=self.name, signal=number.name)

    async def wait_ready(self, seconds: float = 20.0) -> bool:
        """Waits until the node listens for requests."""
        async with asyncio.timeout(seconds):
            while True:
                host, _, port = self.address("outbound").rpartition(":")
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.1)
                    continue
                writer.close()
                return True

    def lose_power(self) -> None:
        """Stops the node's process for good: nothing answers any more."""
        self.signal(signal.SIGSTOP)

    def end_all(self) -> None:
        """Kills all node processes of this machine."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def _make_settings(self, bounds: dict[str, Any]) -> dict[str, Any]:
        return {
            "local": {
                "node": self.name,
                "role": "node",
                "machineClass": "sidecar",
                "serves": ["sidecar"],
                "ip": self.ip,
                "zone": self.zone,
                "region": "costa",
                "faultCounted": False,
                "bootstrap": self._first,
                "dataDir": None,
                "limits": {
                    "cpuShare": 0.86,
                    "cores": 1,
                    "memoryMb": 300,
                    "maxFds": 4100,
                    "linkMbps": 1000.0,
                    "diskMb": 0,
                },
                "appAddr": f"{self.ip}:{_INSTANCE_PORT}",
                "service": self.service,
            },
            "network": {
                "listen": {name: self.address(name) for name in _PORTS},
                "portRange": [7620, 7635],
                "seeds": [],
                "zones": dict.fromkeys(ZONES, "costa"),
            },
            "platform": {
                "discovery": "static",
                "entry": "static",
                "heartbeatMs": HEARTBEAT_MS,
                "platform": {
                    "address": self.store_address,
                    "form": "log",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                    "parts": 24,
                    "appendMs": 1.0,
                    "partMbS": 20.0,
                    "readMbS": 80.0,
                    "recordBytes": 262144,
                    "callBytes": 2097152,
                    "keep_s": 300,
                    "partMb": 200,
                    "ttlMinMs": 1000,
                },
            },
            "terms": {
                "contracts": ["base", "drain", "config", "platform"],
                "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS | bounds,
            },
        }
