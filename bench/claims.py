"""Measures claims of idempotency keys: `python -m bench.claims [PART ...]`.

The parts are `virtual`, `wall`, `replay`, `memory`, `outage` and `nodes`.
"""

import json
import random
import sys
import tempfile
import time
import tracemalloc
import urllib.request
import uuid
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path

import trio
from trio.testing import MockClock

from bench.claims_load import ClaimsLoad, LoadResult, make_claim
from bench.memory_log import MemoryLog
from demo.deployment import (
    DemoNode,
    reserve_ports,
    write_configuration,
    write_settings,
)
from demo.process_group import ProcessGroup, wait_for_http
from rhubarbpaddle.execution.claim_ledger import ClaimLedger
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.log import HttpLogClient
from rhubarbpaddle.node.claim_codec import encode_group
from rhubarbpaddle.node.claim_partition_task import ClaimPartitionTask
from rhubarbpaddle.node.configuration_stream_loss_detector import (
    ConfigurationStreamLossDetector,
)
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork

CLAIM_RATES = (10, 100, 1_000, 6_000)
APPEND_MS = (1, 5, 20)
VIRTUAL_SECONDS = 5.0
WALL_SECONDS = 5.0
SETTLE_SECONDS = 1.5


def main(parts: list[str]) -> None:
    """Runs the given parts, or all."""
    for name, measure in PARTS.items():
        if not parts or name in parts:
            print(f"## {name}", flush=True)
            measure()


def measure_virtual() -> None:
    """Measures append rates and latency in virtual time.

    The time that the process spends on computing is not part of the latency.
    """
    for append_ms in APPEND_MS:
        for rate in CLAIM_RATES:
            log = MemoryLog(append_ms / 1000)

            async def run(log: MemoryLog = log, rate: int = rate) -> LoadResult:
                async with trio.open_nursery() as nursery:
                    load = ClaimsLoad(log, nursery)
                    await trio.sleep(SETTLE_SECONDS)
                    result = await load.run(rate, VIRTUAL_SECONDS)
                    nursery.cancel_scope.cancel()
                return result

            clock = MockClock(autojump_threshold=0)
            result: LoadResult = trio.run(run, clock=clock)
            print_load(append_ms, rate, log.appends, result)


def measure_wall() -> None:
    """Measures append rates and latency in real time, with a log process."""
    with (
        tempfile.TemporaryDirectory() as name,
        ProcessGroup(Path(name)) as group,
    ):
        address = start_log(group)
        for append_ms in APPEND_MS:
            control_log(address, latency_seconds=append_ms / 1000)
            for rate in CLAIM_RATES:
                appends_before = control_log(address)["appends"]

                async def run(rate: int = rate) -> LoadResult:
                    log = HttpLogClient(TcpNetwork(), address)
                    async with trio.open_nursery() as nursery:
                        load = ClaimsLoad(log, nursery)
                        await trio.sleep(SETTLE_SECONDS)
                        result = await load.run(rate, WALL_SECONDS)
                        nursery.cancel_scope.cancel()
                    return result

                result: LoadResult = trio.run(run)
                appends = control_log(address)["appends"] - appends_before
                print_load(append_ms, rate, appends, result)


def print_load(
    append_ms: int, rate: int, appends: int, result: LoadResult
) -> None:
    """Prints the results of one load as a line."""
    granted = result.outcomes["granted"]
    print(
        f"append_ms={append_ms} claims_per_s={rate} "
        f"granted_per_s={granted / result.seconds:.0f} "
        f"appends_per_s={appends / result.seconds:.0f} "
        f"p50_ms={result.get_percentile_ms(0.5):.2f} "
        f"p99_ms={result.get_percentile_ms(0.99):.2f} "
        f"outcomes={dict(result.outcomes)}",
        flush=True,
    )


def measure_replay() -> None:
    """Measures how long a new owner takes to read a partition's claims."""
    with (
        tempfile.TemporaryDirectory() as name,
        ProcessGroup(Path(name)) as group,
    ):
        address = start_log(group)
        partition = 100
        for claims_per_append, count in (
            (1, 1_000),
            (1, 10_000),
            (10, 1_000),
            (10, 10_000),
            (10, 100_000),
        ):
            partition += 1
            seconds, claims = trio.run(
                replay, address, partition, claims_per_append, count
            )
            print(
                f"claims={claims} claims_per_append={claims_per_append} "
                f"seconds={seconds:.3f}",
                flush=True,
            )


async def replay(
    address: str, partition: int, claims_per_append: int, count: int
) -> tuple[float, int]:
    """Fills a partition's stream and replays it.

    Returns:
        The seconds of the replay and the number of claims that it read.
    """
    log = HttpLogClient(TcpNetwork(), address)
    now_ms = int(time.time() * 1000)
    for _ in range(count // claims_per_append):
        records = [make_claim(now_ms) for _ in range(claims_per_append)]
        payload = encode_group(now_ms, records)
        await log.append(f"claims-{partition}", payload)
    task = ClaimPartitionTask(
        partition,
        log,
        ConfigurationStreamLossDetector(log, lambda: 0),
        SystemClock(),
        random.Random(1),
    )
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(task.run)
        await task.submit(make_claim(now_ms))
        seconds = trio.current_time() - started
        nursery.cancel_scope.cancel()
    return seconds, len(task.ledger) - 1


def measure_memory() -> None:
    """Measures the memory that a ledger needs for each claim."""
    now_ms = int(time.time() * 1000)
    for count in (1_000, 10_000, 100_000):
        tracemalloc.start()
        bytes_before = tracemalloc.get_traced_memory()[0]
        ledger = ClaimLedger()
        for offset in range(count):
            claim = make_claim(now_ms)
            ledger.apply(claim, offset, now_ms)
            outcome = ClaimOutcome(
                claim.key, claim.claim_id, 200, [], b"x" * 99
            )
            ledger.apply(outcome, offset, now_ms)
        used_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
        tracemalloc.stop()
        print(f"claims={len(ledger)} bytes_per_claim={used_bytes / count:.0f}")


def measure_outage() -> None:
    """Counts the outcomes of 1,000 claims/s during and after a 20 s outage."""
    for kind in ("down", "silent"):

        async def run(kind: str = kind) -> tuple[LoadResult, LoadResult]:
            log = MemoryLog(0.005)
            async with trio.open_nursery() as nursery:
                load = ClaimsLoad(log, nursery)
                await trio.sleep(SETTLE_SECONDS)
                setattr(log, kind, True)
                during = await load.run(1_000, 20.0)
                setattr(log, kind, False)
                await trio.sleep(SETTLE_SECONDS)
                after = await load.run(1_000, 2.0)
                nursery.cancel_scope.cancel()
            return during, after

        during, after = trio.run(run, clock=MockClock(autojump_threshold=0))
        print(
            f"outage={kind} during={dict(during.outcomes)} "
            f"after={dict(after.outcomes)}"
        )


def measure_nodes() -> None:
    """Measures the latency that a claim adds to requests to two real nodes."""
    with (
        tempfile.TemporaryDirectory() as name,
        ProcessGroup(Path(name)) as group,
    ):
        directory = Path(name)
        address = start_log(group)
        nodes = start_nodes(group, directory, address)
        for append_ms in APPEND_MS:
            control_log(address, latency_seconds=append_ms / 1000)
            for method in ("PUT", "POST"):
                durations = [time_calls(node, method, 300) for node in nodes]
                merged = sorted(durations[0] + durations[1])
                print(
                    f"append_ms={append_ms} method={method} "
                    f"p50_ms={merged[len(merged) // 2]:.2f} "
                    f"p99_ms={merged[int(len(merged) * 0.99)]:.2f}",
                    flush=True,
                )


def start_nodes(
    group: ProcessGroup, directory: Path, log_address: str
) -> list[DemoNode]:
    """Starts two nodes with an upstream each and publishes a configuration."""
    nodes = [
        DemoNode(
            f"lanes-{zone}",
            zone,
            "lanes",
            *(f"127.0.0.1:{port}" for port in reserve_ports(4)),
        )
        for zone in ("costa-a", "costa-b")
    ]
    for node in nodes:
        settings = write_settings(node, log_address, directory)
        group.start(node.name, "rhubarbpaddle", "node", str(settings))
        group.start(
            f"upstream-{node.name}",
            *("standins", "upstream", node.upstream_address),
            *("--announce-to", node.admin_address, "--service", "lanes"),
            *("--instance", node.name, "--work-ms", "1"),
        )
    configuration = str(write_configuration(directory, None))
    group.start(
        "publish",
        "rhubarbpaddle",
        "publish",
        configuration,
        "--log",
        log_address,
        "--yes",
    )
    for node in nodes:
        wait_for_http(f"http://{node.admin_address}/readyz", 20.0)
    time.sleep(3.0)
    return nodes


def time_calls(node: DemoNode, method: str, count: int) -> list[float]:
    """Sends requests one after another on one connection.

    Returns:
        The duration of each request in milliseconds.
    """
    conn = HTTPConnection(node.caller_address, timeout=10)
    durations = []
    for _ in range(count):
        now_ms = int(time.time() * 1000)
        uuid7 = now_ms << 80 | 7 << 76 | 2 << 62 | random.getrandbits(62)
        headers = {
            "Host": "lanes",
            "Idempotency-Key": str(uuid.UUID(int=uuid7)),
        }
        started = time.perf_counter()
        conn.request(method, "/book", body=b"{}", headers=headers)
        response = conn.getresponse()
        body = response.read()
        durations.append((time.perf_counter() - started) * 1000)
        assert response.status == 200, (response.status, body)
    conn.close()
    return durations


def start_log(group: ProcessGroup) -> str:
    """Starts the stand-in for the log and returns its address."""
    address = f"127.0.0.1:{reserve_ports(1)[0]}"
    group.start("log", "standins", "log", address)
    wait_for_http(f"http://{address}/control", 10.0)
    return address


def control_log(address: str, **settings: object) -> dict[str, int]:
    """Sets attributes of the stand-in for the log and returns all of them."""
    request = urllib.request.Request(
        f"http://{address}/control",
        data=json.dumps(settings).encode() if settings else None,
        method="POST" if settings else "GET",
    )
    with urllib.request.urlopen(request, timeout=5) as response:
        document: dict[str, int] = json.load(response)
    return document


PartFunction = Callable[[], None]
PARTS: dict[str, PartFunction] = {
    "virtual": measure_virtual,
    "wall": measure_wall,
    "replay": measure_replay,
    "memory": measure_memory,
    "outage": measure_outage,
    "nodes": measure_nodes,
}

if __name__ == "__main__":
    main(sys.argv[1:])
