"""Measures the processor time of nodes by what they do.

Runs real node processes of the users' platform on loopback addresses, with
stand-ins for the store and the instances, and measures for each fleet size:

- the start of all nodes at once, up to the first response of each;
- a second without requests;
- a request, without the time that passes anyway;
- the return after all nodes were killed at once.

Each size is measured without organisations, with the settings for usage caps,
and with 80 organisations that have usage caps, in turn. The requests are the
same. `python -m bench.node_cost [--rounds=N] [SIZES]` prints a row for each,
with the medians of the rounds.
"""

import contextlib
import random
import sys
import tempfile
from pathlib import Path
from statistics import median
from typing import NamedTuple

import h11
import trio

from bench.cap_variant import CapVariant
from bench.process_usage import ProcessUsage
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.tcp_network import TcpNetwork
from soak.configuration_history import make_key
from soak.deployment import SoakDeployment
from soak.host import SoakHost

_SIZES = (6, 24)
_IDLE_SECONDS = 10.0
_LOAD_SECONDS = 10.0
_CALLERS_PER_HOST = 2
# Requests per second of one caller.
_RATE = 5.0
_RESPONSE_TIMEOUT_SECONDS = 20.0
_ORGANISATIONS = tuple(f"organisation-{index}" for index in range(80))
# The demand of the organisations is a power law, as in `bench.usage_caps`. None
# reaches its cap.
_WEIGHTS = tuple((1 + index) ** -1.2 for index in range(len(_ORGANISATIONS)))
_ROUNDS_OPTION = "--rounds="


class NodeCost(NamedTuple):
    """The cost of a fleet; processor times are in seconds for one node.

    Attributes:
        nodes: The number of nodes.
        start_cpu: From the start of the process to its first response.
        idle_cpu: In a second without requests.
        request_cpu: For one request, over all nodes that take part.
        checks: Health checks for one request.
        failed: The requests without status 200.
        resident_mib: Resident memory after the requests in MiB, the median of
            the nodes.
        return_cpu: From the start after a kill of all nodes to the first
            response.
        return_seconds: Elapsed time from that start until the last node has
            responded.
    """

    nodes: int
    start_cpu: float
    idle_cpu: float
    request_cpu: float
    checks: float
    failed: int
    resident_mib: float
    return_cpu: float
    return_seconds: float


def main() -> None:
    """Prints a table with a row for each size and variant."""
    rounds = 1
    sizes = []
    for argument in sys.argv[1:]:
        if argument.startswith(_ROUNDS_OPTION):
            rounds = int(argument.removeprefix(_ROUNDS_OPTION))
        else:
            sizes.append(int(argument))
    print("| caps | " + " | ".join(NodeCost._fields) + " |")
    print("| --- " * (1 + len(NodeCost._fields)) + "|")
    for size in sizes or _SIZES:
        costs: dict[CapVariant, list[NodeCost]] = {
            variant: [] for variant in CapVariant
        }
        # The load of the machine changes: the variants take turns.
        for _ in range(rounds):
            for variant in CapVariant:
                costs[variant].append(trio.run(measure, size, variant))
        for variant, rows in costs.items():
            medians = (median(column) for column in zip(*rows, strict=True))
            cells = " | ".join(f"{value:.4g}" for value in medians)
            print(f"| {variant} | {cells} |", flush=True)


async def measure(size: int, variant: CapVariant) -> NodeCost:
    """Measures a fleet of a size."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = SoakDeployment(
                size,
                Path(folder),
                random.Random(1),
                nursery,
                _ORGANISATIONS if variant is CapVariant.CAPS else (),
                has_quota_terms=variant is not CapVariant.NONE,
            )
            try:
                await fleet.start()
                await _wait_for_responses(fleet.hosts)
                start_cpu = _read_cpu(fleet.hosts) / size
                idle_cpu = await _measure_idle(fleet.hosts)
                request_cpu, checks, failed = await _measure_load(
                    fleet.hosts, idle_cpu
                )
                resident_mib = median(
                    ProcessUsage.from_pid(host.node_pid).resident_mib
                    for host in fleet.hosts
                )
                fleet.kill_all()
                started = trio.current_time()
                for host in (*fleet.hosts, *fleet.target_hosts):
                    host.start_node()
                await _wait_for_responses(fleet.hosts)
                elapsed = trio.current_time() - started
                return_cpu = _read_cpu(fleet.hosts) / size
            finally:
                fleet.kill_all()
            nursery.cancel_scope.cancel()
    return NodeCost(
        size,
        start_cpu,
        idle_cpu,
        request_cpu,
        checks,
        failed,
        resident_mib,
        return_cpu,
        elapsed,
    )


def _read_cpu(hosts: list[SoakHost]) -> float:
    return sum(
        ProcessUsage.from_pid(host.node_pid).cpu_seconds for host in hosts
    )


async def _measure_idle(hosts: list[SoakHost]) -> float:
    before = _read_cpu(hosts)
    await trio.sleep(_IDLE_SECONDS)
    return (_read_cpu(hosts) - before) / _IDLE_SECONDS / len(hosts)


async def _measure_load(
    hosts: list[SoakHost], idle_cpu: float
) -> tuple[float, float, int]:
    """Returns processor time and checks for one request, and the failures."""
    rng = random.Random(2)
    checks_before = sum(host.get_check_count() for host in hosts)
    cpu_before = _read_cpu(hosts)
    started = trio.current_time()
    count = failed = 0

    async def call(host: SoakHost, number: int) -> None:
        nonlocal count, failed
        for index in range(int(_LOAD_SECONDS * _RATE)):
            due = started + index / _RATE
            await trio.sleep(max(0.0, due - trio.current_time()))
            (organisation,) = rng.choices(_ORGANISATIONS, _WEIGHTS)
            request_id = f"{host.name}-{number}-{index}"
            failed += await _send(host, request_id, organisation) != 200
            count += 1

    async with trio.open_nursery() as nursery:
        for host in hosts:
            for number in range(_CALLERS_PER_HOST):
                nursery.start_soon(call, host, number)
    elapsed = trio.current_time() - started
    used = _read_cpu(hosts) - cpu_before - idle_cpu * elapsed * len(hosts)
    checks = sum(host.get_check_count() for host in hosts) - checks_before
    return used / count, checks / count, failed


async def _wait_for_responses(hosts: list[SoakHost]) -> None:
    """Waits until each node has served a request."""

    async def wait(host: SoakHost) -> None:
        number = 0
        while True:
            number += 1
            # The node may not listen yet.
            with contextlib.suppress(OSError):
                request_id = f"{host.name}-first-{number}"
                if await _send(host, request_id, _ORGANISATIONS[0]) == 200:
                    return
            await trio.sleep(0.02)

    with trio.fail_after(_RESPONSE_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(wait, host)


async def _send(host: SoakHost, request_id: str, organisation: str) -> int:
    """Sends a request on a new connection and returns the status."""
    address = host.caller_address
    conn = ClientConnection(await TcpNetwork().connect(address), address)
    head = h11.Request(
        method="GET",
        target="/lanes/x",
        headers=[
            ("host", "club.example"),
            ("authorization", f"Token {make_key(organisation)}"),
            ("request-id", request_id),
            ("deadline-ms", "1000"),
        ],
    )
    try:
        await conn.send_request(head, BytesBody(b""))
        response, body = await conn.receive_response()
        while await body.receive():
            pass
    finally:
        await conn.aclose()
    return int(response.status_code)


if __name__ == "__main__":
    main()
