"""Cost and speed of membership at several sizes, as slopes.

Runs the real control links of many nodes in one process over streams in
memory. Traffic and agreement are exact in virtual time; processor time is
that of the real code, without the operating system's share for sockets.
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
_AGREEMENT_SECONDS = 60.0


class MembershipCost(NamedTuple):
    """What one size costs.

    Attributes:
        nodes: How many nodes there were.
        steady_bytes: Bytes that a node sends in a second without changes.
        steady_cpu: Processor seconds of a node in a second without changes.
        change_bytes: Bytes that a node sends for one change of one member.
        death_seconds: Until all others hold a killed node to be dead.
        join_seconds: Until all agree on a replacement without state.
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
    """Prints a table with one row for each size."""
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
    """Starts so many nodes and measures each step."""
    async with trio.open_nursery() as nursery:
        group = OverlayGroup(nursery)
        names = {f"n{index}" for index in range(size)}
        for name in sorted(names):
            group.start(name, "n0:2", "n1:2", "n2:2")
        await group.wait_for_agreement(names, _JOIN_SECONDS)
        await trio.sleep(_JOIN_SECONDS)

        gc.collect()
        sent, cpu = _count_sent(), time.process_time()
        await trio.sleep(_STEADY_SECONDS)
        node_seconds = size * _STEADY_SECONDS
        steady_cpu = (time.process_time() - cpu) / node_seconds
        steady_bytes = (_count_sent() - sent) / node_seconds

        sent = _count_sent()
        group.hosts["n0"].table.update_own()
        await trio.sleep(2.0)
        grown = _count_sent() - sent - steady_bytes * size * 2.0
        change_bytes = grown / size

        group.kill("n3")
        death = await group.wait_for_agreement(
            names - {"n3"}, _AGREEMENT_SECONDS
        )
        await trio.sleep(_JOIN_SECONDS)

        sent = _count_sent()
        group.start("n3", "n0:2", "n1:2", "n2:2")
        join = await group.wait_for_agreement(names, _AGREEMENT_SECONDS)
        join_bytes = _count_sent() - sent - steady_bytes * size * join
        nursery.cancel_scope.cancel()
    return MembershipCost(
        size,
        steady_bytes,
        steady_cpu,
        change_bytes,
        death,
        join,
        join_bytes,
    )


def _count_sent() -> int:
    return MemoryPipe.total_bytes


if __name__ == "__main__":
    main()
