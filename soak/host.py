"""One host of the soak test: a node process, an instance and their proxies."""

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
from soak.organisation_oracle import (
    QUOTA_OVERAGE,
    QUOTA_SLACK,
    QUOTA_WINDOW_SECONDS,
)
from soak.proxy import LoopbackProxy
from soak.records import Run
from soak.rollout_oracle import EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_MS
from standins.platform_documents import make_settings_document

SERVICE = "lanes"
GRACE_PERIOD_SECONDS = 6.0
# Paces large responses, but does not delay them beyond their deadlines.
_LINK_MEGABITS = 100
# The time in which a signal ends a process, on a busy machine.
_EXIT_SECONDS = 1.0
_ROOT = Path(__file__).parents[1]


class SoakHost:
    """Starts, stops and crashes the programs of one host.

    Each host has its own loopback address.

    Attributes:
        name: The name of the host.
        availability_zone: Its availability zone.
        store_proxy: The proxy between its node and the store.
        instance_proxy: The proxy between its node and its instance.
        caller_address: `IP:PORT` at which its node serves callers.
        readiness_address: `IP:PORT` of its node's readiness check.
        instance: The running instance, or None.
        version: The version of the instances that it starts.
        failure_share: The share of their requests that they fail.
    """

    def __init__(
        self,
        index: int,
        availability_zone: str,
        store_address: str,
        folder: Path,
        runs: list[Run],
        rng: random.Random,
        *,
        has_quota_terms: bool,
    ) -> None:
        """Creates a host on which nothing runs.

        Args:
            index: The number of the host, from 0.
            availability_zone: Its availability zone.
            store_address: `IP:PORT` of the store.
            folder: The folder for settings and logs.
            runs: The list to which instances append their runs.
            rng: The random number generator.
            has_quota_terms: Whether its node applies usage caps.
        """
        self.name = f"h{index}"
        self.availability_zone = availability_zone
        self._ip = f"127.{os.getpid() % 200 + 20}.{index // 200}.{index + 1}"
        self.store_proxy = LoopbackProxy(self._get_address(7001), store_address)
        self.instance_proxy = LoopbackProxy(
            self._get_address(7002), self._get_address(7003)
        )
        self.caller_address = self._get_address(7004)
        self.readiness_address = self._get_address(7007)
        self.instance: SoakInstance | None = None
        self.version = "v1"
        self.failure_share = 0.0
        self._runs = runs
        self._rng = rng
        self._has_quota_terms = has_quota_terms
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._processes: list[subprocess.Popen[bytes]] = []
        self._instance_scope = trio.CancelScope()
        self._instance_starts = 0

    async def start_proxies(self, nursery: trio.Nursery) -> None:
        """Starts the proxies to the store and to the instance."""
        await nursery.start(self.store_proxy.serve)
        await nursery.start(self.instance_proxy.serve)

    def start_node(self) -> None:
        """Starts the node process."""
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
        self._processes.append(self._process)

    @property
    def node_pid(self) -> int:
        """The id of the newest node process."""
        assert self._process is not None
        return self._process.pid

    def get_check_count(self) -> int:
        """Returns how many health checks the instance has responded to."""
        return self.instance.check_count if self.instance else 0

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal to the node process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    async def reload_node(self) -> bool:
        """Sends the node process SIGHUP, as after a change of its settings.

        Returns:
            Whether the signal ended a process whose interpreter had not yet
            reached the program's first line, which ignores SIGHUP.
        """
        process = self._process
        if process is None or process.poll() is not None:
            return False
        is_handled = _handles_reload(process.pid)
        process.send_signal(signal.SIGHUP)
        if is_handled:
            return False
        with trio.move_on_after(_EXIT_SECONDS):
            await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
        return process.poll() == -signal.SIGHUP

    async def wait_for_exit(self) -> bool:
        """Waits for the node process and kills it after the grace period.

        Returns:
            Whether it exited within the grace period.
        """
        process = self._process
        assert process is not None
        with trio.move_on_after(GRACE_PERIOD_SECONDS):
            await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
            return True
        process.kill()
        process.wait()
        return False

    def kill(self) -> None:
        """Kills all node processes of this host, including paused ones."""
        for process in self._processes:
            process.kill()
            process.wait()

    async def start_instance(
        self,
        nursery: trio.Nursery,
        is_cold: bool = True,
        *,
        keeps_id: bool = False,
    ) -> None:
        """Starts an instance, with a new id unless it keeps the last one."""
        self._instance_starts += not keeps_id
        instance = self.instance = SoakInstance(
            self.name,
            self._instance_starts,
            self._get_address(7005),
            self._runs,
            self._rng,
            is_cold,
            SERVICE,
            self.version,
            self.failure_share,
        )
        self._instance_scope = trio.CancelScope()
        await nursery.start(self._run_instance, instance)

    def crash_instance(self) -> None:
        """Stops the instance and closes its connections without notice."""
        self._instance_scope.cancel()
        self.instance = None

    async def _run_instance(
        self,
        instance: SoakInstance,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._instance_scope:
            await instance.run(self._get_address(7003), task_status=task_status)

    def _get_address(self, port: int) -> str:
        return f"{self._ip}:{port}"

    def _make_settings(self) -> dict[str, Any]:
        addresses = {
            "instance": self._get_address(7002),
            "store": self._get_address(7001),
            "inbound": self._get_address(7006),
            "outbound": self.caller_address,
            "readiness": self.readiness_address,
            "control": self._get_address(7005),
        }
        document = make_settings_document(
            self.name, self.availability_zone, SERVICE, addresses, 500
        )
        document["terms"]["bounds"] |= {
            "exposureShare": EXPOSURE_SHARE,
            "exposureSlack": EXPOSURE_SLACK,
            "rollbackMs": ROLLBACK_MS,
        }
        if self._has_quota_terms:
            document["terms"]["bounds"] |= {
                "quotaWindowS": QUOTA_WINDOW_SECONDS,
                "quotaOverage": QUOTA_OVERAGE,
                "quotaSlack": QUOTA_SLACK,
            }
        document["local"]["limits"] = {"linkMbps": _LINK_MEGABITS}
        return document


def _handles_reload(pid: int) -> bool:
    """Returns whether a process ignores or catches SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(handled >> (signal.SIGHUP - 1) & 1)
