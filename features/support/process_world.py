"""Three nodes with upstreams and the log, each a real process."""

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
from demo.deployment import make_nodes, reserve_ports, write_text
from demo.process_group import ProcessGroup, wait_for_http

_START_SECONDS = 20.0


class ProcessAnswer(NamedTuple):
    """What a caller got; status 0 if the connection broke."""

    status: int
    headers: dict[str, str]


class ProcessWorld:
    """Starts the processes and sends callers' requests to them."""

    def __init__(self, group: ProcessGroup, folder: Path) -> None:
        self.group = group
        self._folder = folder
        self._log_address = f"127.0.0.1:{reserve_ports(1)[0]}"
        self.nodes = {node.name[-1]: node for node in make_nodes()[:3]}

    def start(self, work_ms: int) -> None:
        """Starts all processes and waits until every upstream has worked."""
        self.start_log()
        for node in self.nodes.values():
            start_node(
                self.group,
                node,
                self._log_address,
                self._folder,
                "--work-ms",
                str(work_ms),
            )
        for node in self.nodes.values():
            wait_for_http(
                f"http://{node.admin_address}/healthz", _START_SECONDS
            )
        publish(write_text(self._folder, None), self._log_address)
        for node in self.nodes.values():
            wait_for_http(f"http://{node.admin_address}/readyz", _START_SECONDS)
        deadline = time.monotonic() + _START_SECONDS
        while not all(self.get_runs(name) for name in self.nodes):
            # Sent together, as a cold upstream takes one request at a time.
            with ThreadPoolExecutor(len(self.nodes)) as pool:
                for name in self.nodes:
                    pool.submit(self.send, name, "GET", "/warm")
            time.sleep(0.05)
            assert time.monotonic() < deadline, "not all upstreams take work"

    def start_log(self) -> None:
        """Starts the log's stand-in, which is empty."""
        self.group.start("log", "standins", "log", self._log_address)

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Sends a signal to a node, or to the log as `log`."""
        os.kill(self.group.pid(self.get_process(name)), signum)

    def get_process(self, name: str) -> str:
        """Returns the name of a node's process in the group."""
        return self.nodes[name].name if name in self.nodes else name

    def connect(self, name: str) -> http.client.HTTPConnection:
        """Returns a caller's connection to a node."""
        address = self.nodes[name].caller_address
        return http.client.HTTPConnection(address, timeout=15)

    def send(
        self, name: str, method: str, target: str, key: str = ""
    ) -> ProcessAnswer:
        """Sends a request to a node on a connection of its own."""
        conn = self.connect(name)
        try:
            return exchange(conn, method, target, key)
        finally:
            conn.close()

    def get_runs(self, name: str) -> Counter[str]:
        """Returns what the upstream beside a node has run."""
        address = self.nodes[name].upstream_address
        return Counter(_fetch(f"http://{address}/runs"))

    def get_all_runs(self) -> Counter[str]:
        """Returns what all upstreams together have run."""
        return sum(map(self.get_runs, self.nodes), Counter[str]())

    def get_version(self, name: str) -> int:
        """Returns the configuration version that a node has in force."""
        address = self.nodes[name].admin_address
        return int(_fetch(f"http://{address}/status")["version"])


def exchange(
    conn: http.client.HTTPConnection, method: str, target: str, key: str = ""
) -> ProcessAnswer:
    """Sends a request and reads its whole answer."""
    headers: Mapping[str, str] = {"Host": "lanes"}
    if key:
        headers = {**headers, "Idempotency-Key": key}
    try:
        conn.request(method, target, headers=headers)
        response = conn.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return ProcessAnswer(0, {})
    received = {k.lower(): v for k, v in response.getheaders()}
    return ProcessAnswer(response.status, received)


def make_key() -> str:
    """Returns a UUIDv7."""
    value = time.time_ns() // 1_000_000 << 80 | 7 << 76 | 2 << 62
    digits = f"{value | random.getrandbits(62):032x}"
    return "-".join(
        (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    )


def _fetch(url: str) -> dict[str, int]:
    with urllib.request.urlopen(url, timeout=5) as response:
        return dict(json.load(response))
