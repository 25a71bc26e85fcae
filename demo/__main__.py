"""Shows how an availability zone is taken out of service and restored."""

import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from demo.deployment import (
    DemoNode,
    make_nodes,
    reserve_ports,
    write_configuration,
    write_settings,
)
from demo.process_group import ProcessGroup, wait_for_http

START_SECONDS = 20.0
# The guaranteed time until a withdrawn zone receives no more requests.
WITHDRAWAL_SECONDS = 2.0
REQUEST_COUNT = 30


def main() -> int:
    """Runs the demonstration and returns its exit code."""
    with tempfile.TemporaryDirectory(prefix="rhubarbpaddle-") as name:
        folder = Path(name)
        with ProcessGroup(folder) as group:
            try:
                return run(group, folder)
            except (TimeoutError, subprocess.CalledProcessError) as exc:
                print(f"FAILED: {exc}")
                for log in sorted(folder.glob("*.log")):
                    print(f"--- {log.name}\n{log.read_text()[-2000:]}")
                return 1


def run(group: ProcessGroup, folder: Path) -> int:
    """Runs all steps; returns 0 if all checks pass, otherwise 1."""
    log_address = f"127.0.0.1:{reserve_ports(1)[0]}"
    nodes = make_nodes()
    group.start("log", "standins", "log", log_address)
    for node in nodes:
        start_node(group, node, log_address, folder)
    for node in nodes:
        wait_for_http(f"http://{node.admin_address}/healthz", START_SECONDS)
    print(f"started the stand-in of the log and {len(nodes)} nodes")

    publish(write_configuration(folder, None), log_address)
    for node in nodes:
        wait_for_http(f"http://{node.admin_address}/readyz", START_SECONDS)
    wait_for_upstreams(nodes)
    before = count_responses_by_zone(nodes)
    print(f"responses by zone: {dict(before)}")

    publish(write_configuration(folder, "costa-b"), log_address)
    time.sleep(WITHDRAWAL_SECONDS)
    during = count_responses_by_zone(nodes)
    print(f"responses by zone with costa-b out of service: {dict(during)}")

    publish(write_configuration(folder, None), log_address)
    time.sleep(WITHDRAWAL_SECONDS)
    after = count_responses_by_zone(nodes)
    print(f"responses by zone with costa-b back in service: {dict(after)}")

    checks = {
        "all zones served before": len(before) == 3,
        "no requests in costa-b while out of service": "costa-b" not in during
        and sum(during.values()) == REQUEST_COUNT,
        "costa-b serves again": after["costa-b"] > 0,
    }
    for check, passed in checks.items():
        print(f"{'ok' if passed else 'FAILED'}: {check}")
    return 0 if all(checks.values()) else 1


def start_node(
    group: ProcessGroup,
    node: DemoNode,
    log_address: str,
    folder: Path,
    *upstream_options: str,
) -> None:
    """Starts a node and the upstream beside it."""
    settings = write_settings(node, log_address, folder)
    group.start(node.name, "rhubarbpaddle", "node", str(settings))
    start_upstream(group, node, *upstream_options)


def start_upstream(
    group: ProcessGroup, node: DemoNode, *upstream_options: str
) -> None:
    """Starts the upstream beside a node."""
    group.start(
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
        *upstream_options,
    )


def publish(configuration: Path, log_address: str) -> None:
    """Publishes a configuration with the `publish` command."""
    command = [
        "rhubarbpaddle",
        "publish",
        str(configuration),
        "--log",
        log_address,
        "--yes",
    ]
    subprocess.run([sys.executable, "-m", *command], check=True)


def wait_for_upstreams(nodes: list[DemoNode]) -> None:
    """Waits until instances of `lanes` in all zones respond."""
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        if len(count_responses_by_zone(nodes)) == 3:
            return
        time.sleep(0.2)
    raise TimeoutError("not all upstreams accept requests")


def count_responses_by_zone(nodes: list[DemoNode]) -> Counter[str]:
    """Sends requests and returns the number of responses from each zone."""
    zones: Counter[str] = Counter()
    for index in range(REQUEST_COUNT):
        gateway = nodes[index % len(nodes)]
        command = [
            "curl",
            "--silent",
            "--max-time",
            "5",
            "--header",
            "Host: lanes",
            f"http://{gateway.caller_address}/availability",
        ]
        response = subprocess.run(
            command, capture_output=True, check=True, text=True
        )
        document = json.loads(response.stdout)
        instance = document.get("instance")
        if instance is not None:
            zones[instance.removeprefix("lanes-")] += 1
    return zones


if __name__ == "__main__":
    sys.exit(main())
