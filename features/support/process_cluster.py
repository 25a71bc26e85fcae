"""Runs three nodes with upstreams and the log as separate processes."""

import http.client
import json
import os
import random
import signal
import time
import urllib.request
from collections import Counter
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from demo.__main__ import publish, start_node
from demo.deployment import make_nodes, reserve_ports, write_configuration
from demo.process_group import ProcessGroup, wait_for_http

_START_TIMEOUT_SECONDS = 20.0


class ProcessResponse(NamedTuple):
    """A response; the status is 0 if the connection broke.

    Attributes:
        status: The status code.
        headers: The headers.
        problem: The body if the status is that of a failure, otherwise empty.
    """

    status: int
    headers: dict[str, str]
    problem: str = ""


class ProcessCluster:
    """Starts the processes and sends callers' requests to them.

    Attributes:
        group: The processes.
        nodes: The nodes by the last letter of their name.
    """

    def __init__(self, group: ProcessGroup, directory: Path) -> None:
        self.group = group
        self._directory = directory
        self._log_address = f"127.0.0.1:{reserve_ports(1)[0]}"
        self.nodes = {node.name[-1]: node for node in make_nodes()[:3]}

    def start(self, work_ms: int) -> None:
        """Starts all processes; waits until each upstream has run a request.

        Args:
            work_ms: How long an upstream works on a request.
        """
        self.start_log()
        for node in self.nodes.values():
            start_node(
                self.group,
                node,
                self._log_address,
                self._directory,
                "--work-ms",
                str(work_ms),
            )
        for node in self.nodes.values():
            for url in (
                f"http://{node.admin_address}/healthz",
                f"http://{node.upstream_address}/runs",
            ):
                wait_for_http(url, _START_TIMEOUT_SECONDS)
        publish(write_configuration(self._directory, None), self._log_address)
        for node in self.nodes.values():
            wait_for_http(
                f"http://{node.admin_address}/readyz", _START_TIMEOUT_SECONDS
            )
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        while not all(self.get_runs(name) for name in self.nodes):
            # Sent concurrently: a cold upstream runs one request at a time, so
            # the others are sent to the other upstreams.
            with ThreadPoolExecutor(len(self.nodes)) as pool:
                for name in self.nodes:
                    pool.submit(self.send, name, "GET", "/warm")
            time.sleep(0.05)
            assert time.monotonic() < deadline, "not all upstreams run requests"

    def start_log(self) -> None:
        """Starts the log's stand-in without records."""
        self.group.start("log", "standins", "log", self._log_address)

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Sends a signal to a node or, if the name is `log`, to the log."""
        os.kill(self.group.get_pid(self.get_process(name)), signum)

    def get_process(self, name: str) -> str:
        """Returns the name of a node's process in the group."""
        return self.nodes[name].name if name in self.nodes else name

    def connect(self, name: str) -> http.client.HTTPConnection:
        """Returns a caller's connection to a node."""
        address = self.nodes[name].caller_address
        return http.client.HTTPConnection(address, timeout=15)

    def send(
        self, name: str, method: str, target: str, key: str = ""
    ) -> ProcessResponse:
        """Sends a request to a node on a connection of its own."""
        conn = self.connect(name)
        try:
            return exchange(conn, method, target, key)
        finally:
            conn.close()

    def get_runs(self, name: str) -> Counter[str]:
        """Returns how often the upstream beside a node ran each request."""
        address = self.nodes[name].upstream_address
        return Counter(_fetch(f"http://{address}/runs"))

    def get_all_runs(self) -> Counter[str]:
        """Returns how often all upstreams together ran each request."""
        return sum(map(self.get_runs, self.nodes), Counter[str]())

    def get_version(self, name: str) -> int:
        """Returns the configuration version that a node has in force."""
        address = self.nodes[name].admin_address
        return int(_fetch(f"http://{address}/status")["version"])


def exchange(
    conn: http.client.HTTPConnection, method: str, target: str, key: str = ""
) -> ProcessResponse:
    """Sends a request and reads its whole response.

    Args:
        conn: The connection to a node.
        method: The request's method.
        target: The request's target.
        key: The idempotency key, or the empty string.
    """
    headers: Mapping[str, str] = {"Host": "lanes"}
    if key:
        headers = {**headers, "Idempotency-Key": key}
    try:
        conn.request(method, target, headers=headers)
        response = conn.getresponse()
        content = response.read()
    except (OSError, http.client.HTTPException):
        return ProcessResponse(0, {})
    received = {k.lower(): v for k, v in response.getheaders()}
    problem = content.decode(errors="replace") if response.status >= 400 else ""
    return ProcessResponse(response.status, received, problem)


def make_key() -> str:
    """Returns a new idempotency key, a UUIDv7."""
    value = time.time_ns() // 1_000_000 << 80 | 7 << 76 | 2 << 62
    digits = f"{value | random.getrandbits(62):032x}"
    return "-".join(
        (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    )


def _fetch(url: str) -> dict[str, int]:
    with urllib.request.urlopen(url, timeout=5) as response:
        return dict(json.load(response))
