"""Measures what connections for queries about usage caps cost.

One process asks many owners, another one plays all of them, each at a loopback
address of its own. Prints for both sides the resident memory that an idle
connection adds, and the processor time of a query on a new connection and on
one that is reused. The memory of the kernel is not included.

`python -m bench.usage_connections [COUNT]`; COUNT is at most the number of idle
connections that a gateway keeps.
"""

import gc
import os
import subprocess
import sys
import time

import trio

from bench.process_usage import ProcessUsage
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.listener import PeerListener
from rhubarbpaddle.peer.usage_client import MAX_IDLE, PURPOSE, UsageClient
from rhubarbpaddle.peer.usage_server import UsageServer
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork
from rhubarbpaddle.usage.owner_role import OwnerRole
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_query import UsageQuery

_PORT = 7406
_ROUNDS = 10
_TIMEOUT_SECONDS = 5.0
_QUERY = UsageQuery("organisation-1", 1)


def make_identity(node_id: str) -> PeerIdentity:
    """Returns the identity of one side."""
    return PeerIdentity("bench", node_id, 1, b"secret")


def make_addresses(pid: int, count: int) -> list[str]:
    """Returns the addresses of the owners.

    Args:
        pid: The id of the measuring process; other ones use other addresses.
        count: The number of owners.
    """
    network = 20 + pid % 200
    return [
        f"127.{network}.{index // 200}.{1 + index % 200}:{_PORT}"
        for index in range(count)
    ]


async def serve(count: int) -> None:
    """Responds at all addresses until the process is killed."""
    server = UsageServer(
        lambda query: UsageGrant(OwnerRole.OWNER, 1), SystemClock()
    )
    listener = PeerListener(
        make_identity("owner"),
        {PURPOSE: server},
    )
    network = TcpNetwork()
    async with trio.open_nursery() as nursery:
        for address in make_addresses(os.getppid(), count):
            await nursery.start(network.serve, address, listener.handle)
        print("ready", flush=True)


async def measure(addresses: list[str], server_pid: int) -> None:
    """Prints the cost of the connections."""
    network, clock = TcpNetwork(), SystemClock()
    connector = PeerConnector(network, make_identity("gateway"))

    async def ask_all(client: UsageClient) -> tuple[float, float]:
        """Returns the processor time of a query on each side."""
        own = time.process_time()
        other = ProcessUsage.from_pid(server_pid).cpu_seconds
        for address in addresses:
            until = clock.monotonic() + _TIMEOUT_SECONDS
            await client.ask(address, _QUERY, until)
        count = len(addresses)
        return (
            (time.process_time() - own) / count,
            (ProcessUsage.from_pid(server_pid).cpu_seconds - other) / count,
        )

    # Modules and code caches are loaded with the first connections.
    first = UsageClient(network, connector, clock)
    for address in addresses[:20]:
        await first.ask(address, _QUERY, clock.monotonic() + _TIMEOUT_SECONDS)
    client = UsageClient(network, connector, clock)
    gc.collect()
    before = [ProcessUsage.from_pid(pid) for pid in (os.getpid(), server_pid)]
    new = await ask_all(client)
    gc.collect()
    after = [ProcessUsage.from_pid(pid) for pid in (os.getpid(), server_pid)]
    reused = [await ask_all(client) for _ in range(_ROUNDS)]
    for index, side in enumerate(("gateway", "owner")):
        added = after[index].resident_mib - before[index].resident_mib
        reused_seconds = sum(costs[index] for costs in reused) / _ROUNDS
        print(
            f"side={side} connections={len(addresses)}"
            f" idle_kib={1024 * added / len(addresses):.1f}"
            f" new_query_us={1e6 * new[index]:.0f}"
            f" reused_query_us={1e6 * reused_seconds:.0f}"
        )


def main(arguments: list[str]) -> None:
    """Measures, or serves in the other process."""
    if arguments[:1] == ["serve"]:
        trio.run(serve, int(arguments[1]))
        return
    count = min(int(arguments[0]) if arguments else MAX_IDLE, MAX_IDLE)
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.usage_connections", "serve", str(count)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        process.stdout.readline()
        trio.run(measure, make_addresses(os.getpid(), count), process.pid)
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    main(sys.argv[1:])
