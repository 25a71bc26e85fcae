"""A fleet of real node processes of two versions."""

import http.client
import json
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from demo.deployment import (
    DemoNode,
    make_nodes,
    reserve_ports,
    write_configuration,
    write_settings,
)
from demo.process_group import ProcessGroup, wait_for_http

START_SECONDS = 20.0
# Nodes that start read a checkpoint, which is written within two intervals.
CHECKPOINT_INTERVAL_SECONDS = 1
_NEW_SOURCES = Path(__file__).parents[2] / "src"


class MixedFleet:
    """Six nodes and a stand-in for the log; each node runs either version.

    Attributes:
        nodes: All nodes.
        versions: The version that each node runs, by node name.
    """

    def __init__(
        self, group: ProcessGroup, folder: Path, old_sources: Path
    ) -> None:
        self.nodes = make_nodes()
        self.versions = {
            node.name: "old" if index % 2 else "new"
            for index, node in enumerate(self.nodes)
        }
        self._group = group
        self._folder = folder
        self._log_address = f"127.0.0.1:{reserve_ports(1)[0]}"
        self._sources = {"old": old_sources, "new": _NEW_SOURCES}

    def start(self) -> None:
        """Starts the log, all nodes and their upstreams."""
        self._group.start("log", "standins", "log", self._log_address)
        for node in self.nodes:
            self.start_node(node, self.versions[node.name])
            self._group.start(
                f"upstream-{node.name}",
                "standins",
                "upstream",
                node.upstream_address,
                "--announce-to",
                node.admin_address,
                "--service",
                node.service,
                "--instance",
                node.name,
            )

    def start_node(self, node: DemoNode, version: str) -> None:
        """Starts a node from the source code of a version."""
        self.versions[node.name] = version
        path = write_settings(node, self._log_address, self._folder)
        settings = json.loads(path.read_text())
        settings["checkpoint_interval_s"] = CHECKPOINT_INTERVAL_SECONDS
        path.write_text(json.dumps(settings))
        self._group.start_program(
            node.name,
            "env",
            f"PYTHONPATH={self._sources[version]}",
            sys.executable,
            *("-m", "rhubarbpaddle", "node", str(path)),
        )
        wait_for_http(f"http://{node.admin_address}/healthz", START_SECONDS)

    def replace(self, name: str) -> None:
        """Stops a node and starts it again in the other version."""
        node = next(node for node in self.nodes if node.name == name)
        self._group.stop(name)
        self.start_node(node, "new" if self.versions[name] == "old" else "old")

    def publish(self, version: str, withdrawn: str | None) -> None:
        """Publishes a configuration with the `publish` command of a version.

        Args:
            version: The version whose command runs.
            withdrawn: The availability zone to take out of service, or None.
        """
        file = str(write_configuration(self._folder, withdrawn))
        command = ["publish", file, "--log", self._log_address, "--yes"]
        self.run_command(version, *command)

    def read_status(self, version: str) -> str:
        """Returns the JSON that the `status` command of a version prints."""
        node = self.nodes[0].admin_address
        command = ["status", "--node", node, "--log", self._log_address]
        return self.run_command(version, *command, "--json")

    def run_command(self, version: str, *arguments: str) -> str:
        """Runs a command of a version and returns its output."""
        environment = {
            **os.environ,
            "PYTHONPATH": str(self._sources[version]),
        }
        process = subprocess.run(
            [sys.executable, "-m", "rhubarbpaddle", *arguments],
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
            check=True,
        )
        return process.stdout

    def send(self, gateway: DemoNode, key: str = "") -> dict[str, Any]:
        """Sends a request to a node; one with a key runs at most once."""
        host, port = gateway.caller_address.split(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = {"Host": "lanes"} | ({"Idempotency-Key": key} if key else {})
        conn.request(
            "POST" if key else "GET", f"/{key or 'lookup'}", headers=headers
        )
        response = conn.getresponse()
        document = json.loads(response.read())
        conn.close()
        replayed = response.headers.get("rhubarbpaddle-replayed", "")
        return document | {"status": response.status, "replayed": replayed}

    def count_paths(self) -> Counter[str]:
        """Sends requests to all nodes and counts them by path.

        Returns:
            The number of requests by the version of the gateway and that of
            the executing node, or the status if no instance responded.
        """
        paths: Counter[str] = Counter()
        for gateway in self.nodes * 10:
            document = self.send(gateway)
            instance = document.get("instance")
            target = self.versions.get(instance or "", document["status"])
            paths[f"{self.versions[gateway.name]} to {target}"] += 1
        return paths

    def count_replays(self, keys: list[str]) -> int:
        """Repeats each key at each node and counts the replayed responses."""
        return sum(
            self.send(gateway, key)["replayed"] == "true"
            for key in keys
            for gateway in self.nodes
        )

    def wait_until_ready(self) -> None:
        """Waits until each node is ready and knows all instances."""
        for node in self.nodes:
            wait_for_http(f"http://{node.admin_address}/readyz", START_SECONDS)
        # Within this time, all instances renew their announcements and these
        # reach all nodes.
        time.sleep(3.0)
