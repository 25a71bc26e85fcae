"""Measures the latency that one and two nodes add to a request.

Run as `python -m bench.hops [REQUESTS]`. Requests alternate between the paths,
over persistent connections on loopback.
"""

import json
import sys
import tempfile
import time
from pathlib import Path

from bench.load import run_load
from bench.process_usage import ProcessUsage
from bench.quantiles import Quantiles
from bench.raw_client import RawClient
from demo.deployment import DemoNode, reserve_ports, write_settings
from demo.process_group import ProcessGroup, wait_for_http

_SERVICE = "lanes"
_REQUESTS = 4_000
_WARM_UP = 300
_START_SECONDS = 20.0
_LOAD_CONNECTIONS = 16
_LOAD_SECONDS = 5.0
_IDLE_CALLERS = 2_000


def main() -> None:
    """Runs all measurements and prints the results."""
    requests = int(sys.argv[1]) if len(sys.argv) > 1 else _REQUESTS
    with tempfile.TemporaryDirectory(prefix="rhubarbpaddle-") as name:
        folder = Path(name)
        with ProcessGroup(folder) as group:
            paths, nodes = _start(group, folder)
            _print_latency(_measure(paths, requests), requests)
            for title, node in zip(
                ("without upstream", "with upstream"), nodes, strict=True
            ):
                _print_load(
                    title, node.caller_address, group.get_pid(node.name)
                )


def _start(
    group: ProcessGroup, folder: Path
) -> tuple[dict[str, str], list[DemoNode]]:
    ports = reserve_ports(12)
    addresses = [f"127.0.0.1:{port}" for port in ports]
    log, upstream, copier, first_copier = addresses[:4]
    nodes = [
        DemoNode("gateway", "a", _SERVICE, *addresses[4:7], "-"),
        DemoNode("sidecar", "b", _SERVICE, *addresses[7:10], upstream),
    ]
    group.start("log", "standins", "log", log)
    for node in nodes:
        settings = write_settings(node, log, folder)
        group.start(node.name, "rhubarbpaddle", "node", str(settings))
        wait_for_http(f"http://{node.admin_address}/healthz", _START_SECONDS)
    arguments = [
        *("standins", "upstream", upstream, "--service", _SERVICE),
        *("--announce-to", nodes[1].admin_address, "--instance", "one"),
        *("--slots", "64", "--work-ms", "0"),
    ]
    group.start("upstream", *arguments)
    group.start("copier", "bench.copier", copier, upstream)
    group.start("first-copier", "bench.copier", first_copier, copier)
    configuration = folder / "services.json"
    document = {
        "services": {_SERVICE: {"slots": 64, "connections": 260}},
        "availability_zones": {"a": {}, "b": {}},
    }
    configuration.write_text(json.dumps(document))
    group.run(
        "rhubarbpaddle", "publish", str(configuration), "--log", log, "--yes"
    )
    paths = {
        "direct": upstream,
        "one copier": copier,
        "one node": nodes[1].caller_address,
        "two copiers": first_copier,
        "two nodes": nodes[0].caller_address,
    }
    for address in paths.values():
        _wait_for_response(address)
    return paths, nodes


def _wait_for_response(address: str) -> None:
    deadline = time.monotonic() + _START_SECONDS
    while True:
        try:
            with RawClient(address, _SERVICE) as client:
                client.measure()
                return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)


def _measure(paths: dict[str, str], requests: int) -> dict[str, Quantiles]:
    clients = {
        name: RawClient(address, _SERVICE) for name, address in paths.items()
    }
    seconds: dict[str, list[float]] = {name: [] for name in paths}
    for index in range(_WARM_UP + requests):
        for name, client in clients.items():
            elapsed = client.measure()
            if index >= _WARM_UP:
                seconds[name].append(elapsed)
    for client in clients.values():
        client.socket.close()
    return {
        name: Quantiles.from_seconds(values) for name, values in seconds.items()
    }


def _print_latency(
    quantiles_by_path: dict[str, Quantiles], requests: int
) -> None:
    print(f"{requests} requests on each path, interleaved; microseconds")
    print("| path | p50 | p99 | p99.9 | added p50 | p99 | p99.9 |")
    print("| --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for name, quantiles in quantiles_by_path.items():
        added = quantiles.subtract(quantiles_by_path["direct"])
        cells = " | ".join(f"{value:.0f}" for value in (*quantiles, *added))
        print(f"| {name} | {cells} |")
    for hops in ("one", "two"):
        nodes = quantiles_by_path[f"{hops} node{'s' * (hops == 'two')}"]
        copiers = quantiles_by_path[f"{hops} copier{'s' * (hops == 'two')}"]
        ratio = nodes.subtract(quantiles_by_path["direct"]).p50 / max(
            copiers.subtract(quantiles_by_path["direct"]).p50, 1
        )
        print(f"{hops}: added p50 is {ratio:.2f} times the copier's")


def _print_load(title: str, address: str, pid: int) -> None:
    idle_usage = ProcessUsage.from_pid(pid)
    started = time.perf_counter()
    responses = run_load(address, _SERVICE, _LOAD_CONNECTIONS, _LOAD_SECONDS)
    elapsed = time.perf_counter() - started
    loaded_usage = ProcessUsage.from_pid(pid)
    cpu_seconds = loaded_usage.cpu_seconds - idle_usage.cpu_seconds
    clients = [RawClient(address, _SERVICE) for _ in range(_IDLE_CALLERS)]
    for client in clients:
        client.measure()
    idle_callers_usage = ProcessUsage.from_pid(pid)
    for client in clients:
        client.socket.close()
    print(f"node {title}, {_LOAD_CONNECTIONS} callers:")
    print(f"- {responses / elapsed:.0f} requests/s")
    print(f"- {responses / cpu_seconds:.0f} requests/s per core of this node")
    for state, usage in (
        ("idle", idle_usage),
        ("under load", loaded_usage),
        (f"with {_IDLE_CALLERS} idle callers", idle_callers_usage),
    ):
        print(
            f"- {state}: {usage.resident_mib:.1f} MiB, {usage.threads} threads"
        )


if __name__ == "__main__":
    main()
