"""One machine: its node process, its instance and its requesters."""

import asyncio
import json
import os
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from harness.instance import Instance
from harness.record import Record
from harness.requester import Requester
from harness.run import Run

ROOT = Path(__file__).parents[2]
REPORT_SECONDS = 1.5
_PORTS = {
    "inbound": 8300,
    "app": 8301,
    "readiness": 8302,
    "outbound": 8304,
    "control": 8306,
    "store": 8309,
    "metrics": 9464,
}
# What the platform passes on of the environment (DEPLOY.md).
_PASSED_VARIABLES = ("PATH", "HOME", "LANG")
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
    "retryBudgetSlack": 62,
    "coldMultiplier": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 15,
    "probesPerS": 60,
}


class Machine:
    """Starts, signals and restarts the node; makes the stand-ins.

    Attributes:
        name: The name of the machine.
        zone: Its zone.
        ip: Its loopback address.
        service: The service of its instance.
        instance: Its instance.
        requester: Its requesters.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        service: str,
        folder: Path,
        runs: list[Run],
        record: Record,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.service = service
        self._folder = folder
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None
        self.instance = Instance(
            f"i-{name}",
            service,
            self.get_address("app"),
            self.get_address("control"),
            zone,
            runs,
            record,
        )
        self.requester = Requester(
            f"r-{name}", self.get_address("outbound"), record
        )

    def get_address(self, purpose: str) -> str:
        """Returns an `IP:PORT` of this machine."""
        return f"{self.ip}:{_PORTS[purpose]}"

    def get_all_addresses(self) -> list[tuple[str, int]]:
        """Returns all addresses that must be free."""
        return [(self.ip, port) for port in _PORTS.values()]

    def start_node(self) -> None:
        """Starts the node as the deploy file says."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._make_settings()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in _PASSED_VARIABLES
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["RHUBARBPADDLE_SETTINGS"] = str(path)
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self._process = subprocess.Popen(
                deploy["roles"]["node"]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._record.add(f"node {self.name} starts")

    def signal_node(self, signum: signal.Signals) -> None:
        """Sends a signal to the node."""
        assert self._process is not None
        self._process.send_signal(signum)
        self._record.say(f"node {self.name} gets {signum.name}")

    async def kill_and_restart(self, pause: float) -> None:
        """Kills the node, and starts it again after a pause."""
        self.signal_node(signal.SIGKILL)
        self.end_node()
        await asyncio.sleep(pause)
        self.start_node()
        self._record.say(f"node {self.name} is started again")

    def end_node(self) -> None:
        """Kills the node if it runs, and waits for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def read_log(self) -> str:
        """Returns what the node's processes have written."""
        return (self._folder / f"{self.name}.log").read_text()

    def _make_settings(self) -> dict[str, Any]:
        listen = {
            key: self.get_address(key)
            for key in ("inbound", "outbound", "readiness", "control")
        }
        limits = {"cores": 1, "memoryMb": 300, "maxFds": 4100}
        store = {
            "address": self.get_address("store"),
            "form": "log",
            "writesPerS": 400,
            "readsPerS": 2000,
            "parts": 24,
            "keep_s": 300,
        }
        return {
            "local": {
                "node": self.name,
                "role": "node",
                "machineClass": "sidecar",
                "serves": ["sidecar"],
                "ip": self.ip,
                "zone": self.zone,
                "region": "costa",
                "bootstrap": True,
                "dataDir": None,
                "limits": {**limits, "linkMbps": 1000.0},
                "appAddr": self.get_address("app"),
                "service": self.service,
            },
            "network": {
                "listen": listen,
                "portRange": [7620, 7635],
                "seeds": [],
                "zones": {self.zone: "costa"},
            },
            "platform": {
                "heartbeatMs": int(REPORT_SECONDS * 1000),
                "platform": store,
            },
            "terms": {"bounds": BOUNDS},
        }
