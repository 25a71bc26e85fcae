"""Compares a unary grpcio call with a framed msgspec exchange over trio.

Run as `python -m bench.transport [CALLS]`. Each transport has its own client
and server process. Batches of calls alternate between the transports.
"""

import sys
import tempfile
import time
from pathlib import Path

from bench.process_usage import ProcessUsage
from bench.quantiles import Quantiles
from bench.transport_process import TransportProcess
from demo.deployment import reserve_ports
from demo.process_group import ProcessGroup

_CALLS = 5_000
_BATCH_CALLS = 100
_WARM_UP = 300
_START_SECONDS = 2.0
_TRANSPORTS = ("grpc", "msgspec")


def main() -> None:
    """Runs the comparison and prints it as a table."""
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else _CALLS
    with tempfile.TemporaryDirectory(prefix="rhubarbpaddle-") as name:
        folder = Path(name)
        with ProcessGroup(folder) as group:
            ports = dict(zip(_TRANSPORTS, reserve_ports(2), strict=True))
            for transport, port in ports.items():
                group.start(
                    transport, "bench.transport_server", transport, str(port)
                )
            time.sleep(_START_SECONDS)
            clients = {t: TransportProcess(t, p) for t, p in ports.items()}
            _compare(group, clients, calls)
            for client in clients.values():
                client.stop()


def _compare(
    group: ProcessGroup, clients: dict[str, TransportProcess], calls: int
) -> None:
    seconds: dict[str, list[float]] = {name: [] for name in clients}
    for client in clients.values():
        client.run(_WARM_UP)
    for _ in range(calls // _BATCH_CALLS):
        for name, client in clients.items():
            seconds[name] += client.run(_BATCH_CALLS)
    print(f"{calls} calls each in batches of {_BATCH_CALLS}, alternating")
    print(
        "| transport | p50 us | p99 us | p99.9 us | process | MiB | threads |"
    )
    print("| --- | ---: | ---: | ---: | --- | ---: | ---: |")
    for name, client in clients.items():
        cells = " | ".join(
            f"{v:.0f}" for v in Quantiles.from_seconds(seconds[name])
        )
        for kind, pid in (
            ("client", client.process.pid),
            ("server", group.get_pid(name)),
        ):
            usage = ProcessUsage.from_pid(pid)
            print(
                f"| {name} | {cells} | {kind} | {usage.resident_mib:.1f} "
                f"| {usage.threads} |"
            )


if __name__ == "__main__":
    main()
