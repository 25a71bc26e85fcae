"""Measures the processor time of nodes by what they do.

Runs real node processes of the users' platform on loopback addresses, with
stand-ins for the store and the instances, and measures for each fleet size:

- the start of all nodes at once, up to the first response of each;
- a second without requests;
- a request, without the time that passes anyway;
- the return after all nodes were killed at once.

`python -m bench.node_cost [SIZES]` prints a row for each size.
"""

import contextlib
import random
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import h11
import trio

from bench.process_usage import ProcessUsage
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.tcp_network import TcpNetwork
from soak.deployment import SoakDeployment
from soak.host import SoakHost

_SIZES = (6, 24)
_IDLE_SECONDS = 5.0
_LOAD_SECONDS = 10.0
_CALLERS_PER_HOST = 2
# Requests per second of one caller.
_RATE = 5.0
_RESPONSE_TIMEOUT_SECONDS = 20.0


class NodeCost(NamedTuple):
    """The cost of a fleet; processor times are in seconds for one node.

    Attributes:
        nodes: The number of nodes.
        start_cpu: From the start of the process to its first response.
        idle_cpu: In a second without requests.
        request_cpu: For one request, over all nodes that take part.
        checks: Health checks for one request.
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
    return_cpu: float
    return_seconds: float


def main() -> None:
    """Prints a table with a row for each size."""
    sizes = [int(size) for size in sys.argv[1:]] or _SIZES
    print("| " + " | ".join(NodeCost._fields) + " |")
    print("| --- " * len(NodeCost._fields) + "|")
    for size in sizes:
        cost = trio.run(measure, size)
        print("| " + " | ".join(f"{value:.4g}" for value in cost) + " |")


async def measure(size: int) -> NodeCost:
    """Measures a fleet of a size."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = SoakDeployment(
                size, Path(folder), random.Random(1), nursery
            )
            try:
                await fleet.start()
                await _wait_for_responses(fleet.hosts)
                start_cpu = _read_cpu(fleet.hosts) / size
                idle_cpu = await _measure_idle(fleet.hosts)
                request_cpu, checks = await _measure_load(fleet.hosts, idle_cpu)
                for host in fleet.hosts:
                    host.kill()
                started = trio.current_time()
                for host in fleet.hosts:
                    host.start_node()
                await _wait_for_responses(fleet.hosts)
                elapsed = trio.current_time() - started
                return_cpu = _read_cpu(fleet.hosts) / size
            finally:
                for host in fleet.hosts:
                    host.kill()
            nursery.cancel_scope.cancel()
    return NodeCost(
        size, start_cpu, idle_cpu, request_cpu, checks, return_cpu, elapsed
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
) -> tuple[float, float]:
    """Returns the processor time and the checks for one request."""
    checks_before = sum(host.get_check_count() for host in hosts)
    cpu_before = _read_cpu(hosts)
    started = trio.current_time()
    count = 0

    async def call(host: SoakHost, number: int) -> None:
        nonlocal count
        for index in range(int(_LOAD_SECONDS * _RATE)):
            due = started + index / _RATE
            await trio.sleep(max(0.0, due - trio.current_time()))
            await _send(host, f"{host.name}-{number}-{index}")
            count += 1

    async with trio.open_nursery() as nursery:
        for host in hosts:
            for number in range(_CALLERS_PER_HOST):
                nursery.start_soon(call, host, number)
    elapsed = trio.current_time() - started
    used = _read_cpu(hosts) - cpu_before - idle_cpu * elapsed * len(hosts)
    checks = sum(host.get_check_count() for host in hosts) - checks_before
    return used / count, checks / count


async def _wait_for_responses(hosts: list[SoakHost]) -> None:
    """Waits until each node has served a request."""

    async def wait(host: SoakHost) -> None:
        number = 0
        while True:
            number += 1
            # The node may not listen yet.
            with contextlib.suppress(OSError):
                if await _send(host, f"{host.name}-first-{number}") == 200:
                    return
            await trio.sleep(0.02)

    with trio.fail_after(_RESPONSE_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(wait, host)


async def _send(host: SoakHost, request_id: str) -> int:
    """Sends a request on a new connection and returns the status."""
    address = host.caller_address
    conn = ClientConnection(await TcpNetwork().connect(address), address)
    head = h11.Request(
        method="GET",
        target="/lanes/x",
        headers=[
            ("host", "club.example"),
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
