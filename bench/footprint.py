"""Measures memory, processor time and control traffic of idle node processes.

Starts real node processes with stand-ins for the log and for three upstreams,
waits until all nodes know each other and measures them while there are no
requests. With `--executable` the nodes run `dist/rhubarbpaddle` instead of the
Python source.
"""

import json
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from bench.footprint_row import FootprintRow
from bench.process_footprint import ProcessFootprint
from demo.__main__ import start_upstream
from demo.deployment import (
    SERVICES,
    ZONES,
    DemoNode,
    reserve_ports,
    write_configuration,
    write_settings,
)
from demo.process_group import ProcessGroup, wait_for_http

SIZES = (6, 12, 24, 48)
_UPSTREAMS = 3
_START_TIMEOUT_SECONDS = 60.0
# In the first seconds after the last join, nodes still exchange member tables
# and write a checkpoint.
_SETTLE_SECONDS = 5.0
_MEASURED_SECONDS = 20.0
_EXECUTABLE = Path(__file__).parents[1] / "dist" / "rhubarbpaddle"


def main() -> None:
    """Prints a row for each size, then the increase per node."""
    arguments = sys.argv[1:]
    executable = "--executable" in arguments
    sizes = [int(size) for size in arguments if size.isdigit()] or SIZES
    print("| " + " | ".join(FootprintRow._fields) + " |")
    print("| --- " * len(FootprintRow._fields) + "|")
    rows = []
    for size in sizes:
        rows.append(measure(size, executable))
        cells = (f"{value:.5g}" for value in rows[-1])
        print("| " + " | ".join(cells) + " |", flush=True)
    if len(rows) > 1:
        print_slopes(rows)


def print_slopes(rows: list[FootprintRow]) -> None:
    """Prints how each value grows with the number of nodes."""
    sizes = [row.nodes for row in rows]
    print("\n| figure | at 0 nodes | per node | at 800 nodes |")
    print("| --- | --- | --- | --- |")
    for name in FootprintRow._fields[1:]:
        values = [getattr(row, name) for row in rows]
        slope, intercept = statistics.linear_regression(sizes, values)
        at_800 = intercept + 800 * slope
        print(f"| {name} | {intercept:.4g} | {slope:.3g} | {at_800:.4g} |")


def measure(size: int, executable: bool) -> FootprintRow:
    """Starts a deployment and measures its footprint.

    Args:
        size: The number of nodes.
        executable: Whether the nodes run the built executable.
    """
    with tempfile.TemporaryDirectory(prefix="rhubarbpaddle-") as name:
        directory = Path(name)
        with ProcessGroup(directory) as group:
            log_address = f"127.0.0.1:{reserve_ports(1)[0]}"
            group.start("log", "standins", "log", log_address)
            nodes = make_nodes(size)
            for node in nodes:
                start_node(group, node, log_address, directory, executable)
            for node in nodes:
                wait_for_http(
                    f"http://{node.admin_address}/healthz",
                    _START_TIMEOUT_SECONDS,
                )
            configuration = write_configuration(directory, None)
            publish = [
                "publish",
                str(configuration),
                "--log",
                log_address,
                "--yes",
            ]
            subprocess.run(
                [sys.executable, "-m", "rhubarbpaddle", *publish],
                check=True,
                stdout=subprocess.DEVNULL,
            )
            for node in nodes[:_UPSTREAMS]:
                start_upstream(group, node)
            try:
                wait_for_members(nodes)
            except TimeoutError:
                for path in sorted(directory.glob("n*.log")):
                    print(path.name, path.read_text()[-500:], file=sys.stderr)
                raise
            time.sleep(_SETTLE_SECONDS)
            pids = [group.get_pid(node.name) for node in nodes]
            before = [ProcessFootprint.from_pid(pid) for pid in pids]
            time.sleep(_MEASURED_SECONDS)
            after = [ProcessFootprint.from_pid(pid) for pid in pids]
    return FootprintRow.from_footprints(before, after, _MEASURED_SECONDS)


def make_nodes(size: int) -> list[DemoNode]:
    """Returns nodes that are spread evenly over zones and services.

    Args:
        size: The number of nodes.
    """
    ports = iter(reserve_ports(4 * size))
    return [
        DemoNode(
            f"n{index}",
            ZONES[index % len(ZONES)],
            SERVICES[index % len(SERVICES)],
            *(f"127.0.0.1:{next(ports)}" for _ in range(4)),
        )
        for index in range(size)
    ]


def start_node(
    group: ProcessGroup,
    node: DemoNode,
    log_address: str,
    directory: Path,
    executable: bool,
) -> None:
    """Starts a node from the Python source or from the executable."""
    settings = str(write_settings(node, log_address, directory))
    if executable:
        group.start_program(node.name, str(_EXECUTABLE), "node", settings)
    else:
        group.start(node.name, "rhubarbpaddle", "node", settings)


def wait_for_members(nodes: list[DemoNode]) -> None:
    """Waits until each node lists all members and has a configuration.

    Raises:
        TimeoutError: A node doesn't know all members in time.
    """
    names = {node.name for node in nodes}
    deadline = time.monotonic() + _START_TIMEOUT_SECONDS
    for node in nodes:
        wait_for_http(
            f"http://{node.admin_address}/readyz", _START_TIMEOUT_SECONDS
        )
        url = f"http://{node.admin_address}/status"
        while True:
            with urllib.request.urlopen(url, timeout=5) as response:
                members = json.load(response)["members"].keys()
            if members >= names:
                break
            if time.monotonic() > deadline:
                missing = len(names - members)
                raise TimeoutError(
                    f"{node.name} does not know {missing} members"
                )
            time.sleep(0.2)


if __name__ == "__main__":
    main()
