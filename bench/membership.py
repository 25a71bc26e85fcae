"""Measures traffic, processor time and delays of membership by cluster size.

Runs the real control connections of many nodes in one process over streams in
memory. Traffic and delays are exact because time is virtual. Processor time is
that of the real code, without the time that the kernel spends on sockets.
"""

import gc
import sys
import time
from typing import NamedTuple

import trio
from trio.testing import MockClock

from features.support.memory_pipe import MemoryPipe
from features.support.overlay_group import OverlayGroup

SIZES = (12, 50, 100, 200)
_JOIN_SECONDS = 60.0
_STEADY_SECONDS = 20.0
_AGREEMENT_TIMEOUT_SECONDS = 60.0


class MembershipCost(NamedTuple):
    """The cost of membership for one cluster size.

    Attributes:
        nodes: The number of nodes.
        steady_bytes: Bytes per second that a node sends without changes.
        steady_cpu: Processor seconds per second of a node without changes.
        change_bytes: Bytes that a node sends for one change of one member.
        death_seconds: The time until all others consider a killed node dead.
        join_seconds: The time until all agree on its replacement, which starts
            without state.
        join_bytes: Bytes that all nodes send because of the replacement.
    """

    nodes: int
    steady_bytes: float
    steady_cpu: float
    change_bytes: float
    death_seconds: float
    join_seconds: float
    join_bytes: float


def main() -> None:
    """Prints a table with one row for each cluster size."""
    sizes = tuple(int(size) for size in sys.argv[1:]) or SIZES
    print(
        "| nodes | steady B/s | steady CPU % | B per change "
        "| death s | join s | join B |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size in sizes:
        cost = trio.run(measure, size, clock=MockClock(autojump_threshold=0))
        print(
            f"| {cost.nodes} | {cost.steady_bytes:.0f} "
            f"| {cost.steady_cpu * 100:.2f} | {cost.change_bytes:.0f} "
            f"| {cost.death_seconds:.2f} | {cost.join_seconds:.2f} "
            f"| {cost.join_bytes:.0f} |",
            flush=True,
        )


async def measure(size: int) -> MembershipCost:
    """Starts nodes and measures a steady state, a change, a death and a join.

    Args:
        size: The number of nodes.
    """
    async with trio.open_nursery() as nursery:
        group = OverlayGroup(nursery)
        names = {f"n{index}" for index in range(size)}
        for name in sorted(names):
            group.start(name, "n0:2", "n1:2", "n2:2")
        await group.wait_for_agreement(names, _JOIN_SECONDS)
        await trio.sleep(_JOIN_SECONDS)

        gc.collect()
        sent_before, cpu_before = _get_sent_bytes(), time.process_time()
        await trio.sleep(_STEADY_SECONDS)
        node_seconds = size * _STEADY_SECONDS
        steady_cpu = (time.process_time() - cpu_before) / node_seconds
        steady_bytes = (_get_sent_bytes() - sent_before) / node_seconds

        sent_before = _get_sent_bytes()
        group.nodes["n0"].table.update_own()
        await trio.sleep(2.0)
        total_change_bytes = (
            _get_sent_bytes() - sent_before - steady_bytes * size * 2.0
        )
        change_bytes = total_change_bytes / size

        group.kill("n3")
        death_seconds = await group.wait_for_agreement(
            names - {"n3"}, _AGREEMENT_TIMEOUT_SECONDS
        )
        await trio.sleep(_JOIN_SECONDS)

        sent_before = _get_sent_bytes()
        group.start("n3", "n0:2", "n1:2", "n2:2")
        join_seconds = await group.wait_for_agreement(
            names, _AGREEMENT_TIMEOUT_SECONDS
        )
        join_bytes = (
            _get_sent_bytes() - sent_before - steady_bytes * size * join_seconds
        )
        nursery.cancel_scope.cancel()
    return MembershipCost(
        size,
        steady_bytes,
        steady_cpu,
        change_bytes,
        death_seconds,
        join_seconds,
        join_bytes,
    )


def _get_sent_bytes() -> int:
    return MemoryPipe.total_bytes


if __name__ == "__main__":
    main()
