"""Measures remote ends of one kind against a fleet of their own."""

import contextlib
import multiprocessing
import random
import re
import tempfile
from collections.abc import Iterator
from pathlib import Path

import trio

from bench.hostile.other_requests import OtherRequests
from bench.hostile.remote_end import RemoteEnd
from bench.hostile.row import Row
from bench.process_usage import ProcessUsage
from bench.quantiles import Quantiles
from soak.deployment import SoakDeployment
from soak.host import SoakHost

# Two more nodes have no instance.
_HOSTS = 4
_SECONDS = 5.0
_SETTLE_SECONDS = 1.0
# Short enough that the time of a request is that of its way.
_WORK_SECONDS = 0.001
_RATE = 24.0
_RATE_ELSEWHERE = 8.0
_BUSY = re.compile(rb"event_loop_busy.*longest_pass_ms\W+(\d+)")
# Shorter iterations are not logged.
_UNLOGGED = "< 50"


async def measure(end: RemoteEnd, count: int) -> Row:
    """Measures a number of remote ends, all at the first node.

    Args:
        end: What each of them does.
        count: Their number; none if 0.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = SoakDeployment(
                _HOSTS, Path(folder), random.Random(1), nursery
            )
            try:
                await fleet.start()
                for host in fleet.hosts:
                    assert host.instance is not None
                    host.instance.server.work_seconds = _WORK_SECONDS
                    if end.form and count:
                        forms = {"one": end.form}
                        host.instance.server.endless_forms = forms
                return await _measure_fleet(
                    fleet.hosts, Path(folder), end, count
                )
            finally:
                fleet.kill_all()
                nursery.cancel_scope.cancel()
    raise AssertionError("the nursery was cancelled early")


async def _measure_fleet(
    hosts: list[SoakHost], folder: Path, end: RemoteEnd, count: int
) -> Row:
    # Opens the connections between nodes.
    await _send_all(hosts, "first", 1.0)
    before = [ProcessUsage.from_pid(host.node_pid) for host in hosts]
    logs = [folder / f"{host.name}.log" for host in hosts]
    offsets = [log.stat().st_size for log in logs]
    with _run_ends(end, hosts[0], count):
        await trio.sleep(_SETTLE_SECONDS)
        senders = await _send_all(hosts, "other", _SECONDS)
        after = [ProcessUsage.from_pid(host.node_pid) for host in hosts]
    longest = max(
        (
            int(found)
            for log, offset in zip(logs, offsets, strict=True)
            for found in _BUSY.findall(log.read_bytes()[offset:])
        ),
        default=0,
    )
    quantiles = Quantiles.from_seconds(senders[0].seconds or [float("inf")])
    failed = sum(sender.failed for sender in senders)
    total = failed + sum(len(sender.seconds) for sender in senders)
    return Row(
        end.name if count else "none",
        count,
        f"{failed} of {total}",
        quantiles.p50 / 1000,
        quantiles.p99 / 1000,
        str(longest) if longest > 50 else _UNLOGGED,
        (after[0].cpu_seconds - before[0].cpu_seconds)
        / (_SECONDS + _SETTLE_SECONDS),
        max(usage.resident_mib for usage in after),
        max(
            new.resident_mib - old.resident_mib
            for new, old in zip(after, before, strict=True)
        ),
    )


async def _send_all(
    hosts: list[SoakHost], label: str, duration: float
) -> list[OtherRequests]:
    senders = [OtherRequests(host, f"{label}-{host.name}") for host in hosts]
    async with trio.open_nursery() as nursery:
        for index, sender in enumerate(senders):
            rate = _RATE_ELSEWHERE if index else _RATE
            nursery.start_soon(sender.run, rate, duration)
    return senders


@contextlib.contextmanager
def _run_ends(end: RemoteEnd, host: SoakHost, count: int) -> Iterator[None]:
    """Runs remote ends in a process of their own."""
    ip, _, _ = host.caller_address.rpartition(":")
    process = multiprocessing.get_context("spawn").Process(
        target=_run_in_process, args=(end, ip, count)
    )
    process.start()
    try:
        yield
    finally:
        process.kill()
        process.join()


def _run_in_process(end: RemoteEnd, ip: str, count: int) -> None:
    trio.run(_run_all, end, ip, count)


async def _run_all(end: RemoteEnd, ip: str, count: int) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(end.run, ip, number)
