"""One host of the soak: a node process, an instance and their proxies."""

import json
import os
import random
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import trio

from soak.instance import SoakInstance
from soak.proxy import LoopbackProxy
from soak.records import Run
from standins.platform_documents import make_settings_document

SERVICE = "lanes"
GRACE_SECONDS = 6.0
_ROOT = Path(__file__).parents[1]


class SoakHost:
    """Starts and harms the programs of one host.

    All addresses are on a loopback address of the host's own.

    Attributes:
        name: The host's name.
        availability_zone: Its zone.
        to_store: The way from its node to the store.
        to_instance: The way from its node to its instance.
        caller_address: Where callers find its node.
        readiness_address: Where its node tells whether it is ready.
        instance: The instance that runs, or None.
    """

    def __init__(
        self,
        index: int,
        availability_zone: str,
        store_address: str,
        folder: Path,
        runs: list[Run],
        rng: random.Random,
    ) -> None:
        """Makes a host on which nothing runs.

        Args:
            index: Numbers the hosts from 0.
            availability_zone: Its zone.
            store_address: `IP:PORT` of the store.
            folder: Where settings and logs are written.
            runs: Where instances note what they run.
            rng: The source of chance.
        """
        self.name = f"h{index}"
        self.availability_zone = availability_zone
        self._ip = f"127.{os.getpid() % 200 + 20}.{index // 200}.{index + 1}"
        self.to_store = LoopbackProxy(self._at(7001), store_address)
        self.to_instance = LoopbackProxy(self._at(7002), self._at(7003))
        self.caller_address = self._at(7004)
        self.readiness_address = self._at(7007)
        self.instance: SoakInstance | None = None
        self._runs = runs
        self._rng = rng
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._started: list[subprocess.Popen[bytes]] = []
        self._instance_scope = trio.CancelScope()
        self._starts = 0

    async def start_proxies(self, nursery: trio.Nursery) -> None:
        """Starts the ways to the store and to the instance."""
        await nursery.start(self.to_store.serve)
        await nursery.start(self.to_instance.serve)

    def start_node(self) -> None:
        """Starts the node's process."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._make_settings()))
        environment = {**os.environ, "RHUBARBPADDLE_SETTINGS": str(path)}
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "rhubarbpaddle", "platform"],
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=_ROOT,
            )
        self._started.append(self._process)

    def signal(self, signum: signal.Signals) -> None:
        """Sends a signal to the node's process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    async def wait_for_exit(self) -> bool:
        """Waits for the process to end; kills it as the platform does.

        Returns:
            Whether it ended by itself within the grace time.
        """
        process = self._process
        assert process is not None
        with trio.move_on_after(GRACE_SECONDS):
            await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
            return True
        process.kill()
        process.wait()
        return False

    def kill(self) -> None:
        """Ends each process that was started here, also a paused one."""
        for process in self._started:
            process.kill()
            process.wait()

    async def start_instance(
        self, nursery: trio.Nursery, is_cold: bool = True
    ) -> None:
        """Starts an instance with a new id."""
        self._starts += 1
        instance = self.instance = SoakInstance(
            self.name,
            self._starts,
            self._at(7005),
            self._runs,
            self._rng,
            is_cold,
            SERVICE,
        )
        self._instance_scope = trio.CancelScope()
        await nursery.start(self._run_instance, instance)

    def crash_instance(self) -> None:
        """Ends the instance and its connections without notice."""
        self._instance_scope.cancel()
        self.instance = None

    async def _run_instance(
        self,
        instance: SoakInstance,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._instance_scope:
            await instance.run(self._at(7003), task_status=task_status)

    def _at(self, port: int) -> str:
        return f"{self._ip}:{port}"

    def _make_settings(self) -> dict[str, Any]:
        addresses = {
            "instance": self._at(7002),
            "store": self._at(7001),
            "inbound": self._at(7006),
            "outbound": self.caller_address,
            "readiness": self.readiness_address,
            "control": self._at(7005),
        }
        return make_settings_document(
            self.name, self.availability_zone, SERVICE, addresses, 500
        )
