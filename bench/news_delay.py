"""Measures what it costs to bring a change to all nodes in time.

`python -m bench.news_delay [COUNT...]` runs fleets of nodes in memory under a
virtual clock, without requests. For each it prints the calls to the store and
the bytes that nodes send, mostly each other, while nothing happens. Then the
store comes back from a copy without anything that the nodes had written, and it
prints the calls in the 10 s after that. Last, 60 % of the nodes lose their
power and the configuration changes. It prints after which time the last of the
others has it, and their calls in the 6 s after the loss.
"""

import random
import sys

import logbook
import trio
from trio.testing import MockClock

from features.support.memory_pipe import MemoryPipe
from features.support.platform_world import PlatformWorld, make_configuration

_ZONES = 3
_START_SECONDS = 8.0
_IDLE_SECONDS = 20.0
_DRILL_SECONDS = 10.0
_LOST_SHARE = 0.6
_LOSS_SECONDS = 6.0
_CHECK_SECONDS = 0.01
_DRAWS = 3


def main(arguments: list[str]) -> int:
    """Prints a row for each size of the fleet."""
    logbook.NullHandler().push_application()  # type: ignore[no-untyped-call]
    print(
        "nodes  calls/min  bytes/s/node  calls after drill"
        "  late after loss, s  calls after loss"
    )
    for count in map(int, arguments or ("12", "100", "300")):
        for draw in range(_DRAWS):
            trio.run(
                _measure, count, draw, clock=MockClock(autojump_threshold=0)
            )
    return 0


async def _measure(count: int, draw: int) -> None:
    async with trio.open_nursery() as nursery:
        world = PlatformWorld(nursery)
        await world.start_store(make_configuration())
        for index in range(count):
            await world.start_node(f"h{index}", f"z{index % _ZONES}")
        await trio.sleep(_START_SECONDS)
        calls, sent = world.store.calls, MemoryPipe.total_bytes
        await trio.sleep(_IDLE_SECONDS)
        idle_calls = (world.store.calls - calls) * 60 / _IDLE_SECONDS
        rate = (MemoryPipe.total_bytes - sent) / _IDLE_SECONDS / count
        drill_calls = await _play_drill(world)
        delay, lost_calls = await _lose_power(world, draw)
        print(
            f"{count:5}  {idle_calls:9.0f}  {rate:12.0f}  {drill_calls:17}"
            f"  {delay:18.2f}  {lost_calls:16}",
            flush=True,
        )
        nursery.cancel_scope.cancel()


async def _play_drill(world: PlatformWorld) -> int:
    """Restores a copy with the operators' records alone.

    Returns:
        The calls to the store in the seconds after it.
    """
    calls = world.store.calls
    records = world.store.copy()["keyed.op"]
    world.store.restore({"keyed.op": records})
    await trio.sleep(_DRILL_SECONDS)
    return world.store.calls - calls


async def _lose_power(world: PlatformWorld, draw: int) -> tuple[float, int]:
    """Loses the power of most nodes just before a change.

    Returns:
        The seconds until the last of the others has the change, and the calls
        to the store since the loss.
    """
    names = sorted(world.nodes)
    lost = random.Random(draw).sample(names, round(len(names) * _LOST_SHARE))
    for name in lost:
        for other in (*names, "store"):
            if other != name:
                world.fabric.block_both_ways(name, other)
    for name in lost:
        del world.nodes[name]
    calls, lost_at = world.store.calls, trio.current_time()
    world.put_configuration(make_configuration(2))
    late = 0.0
    while trio.current_time() < lost_at + _LOSS_SECONDS:
        await trio.sleep(_CHECK_SECONDS)
        if any(
            cfg is None or cfg.version != 2
            for cfg in (
                node.configuration.get_configuration()
                for node in world.nodes.values()
            )
        ):
            late = trio.current_time() - lost_at
    return late, world.store.calls - calls


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
