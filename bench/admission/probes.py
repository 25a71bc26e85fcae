"""Measures the share of an upstream's time that probes take."""

import trio

from bench.admission.figure import Figure
from features.support.cluster import Cluster

_SECONDS = 60.0
_PROBE_COST_SECONDS = 0.006
_MAX_SHARE = 0.01
_CONFIGURATION = {
    "services": {"lanes": {"slots": 6}},
    "availability_zones": {"a": {}},
}


async def measure_probes(callers: int) -> list[Figure]:
    """Runs a node and its upstream for 60 s and counts the probes."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery)
        await cluster.start_log()
        cluster.publish(_CONFIGURATION, base=0)
        await cluster.start_node("a", "a")
        await trio.sleep(1)
        upstream = await cluster.start_upstream("a", "lanes", work_seconds=0.05)

        async def call() -> None:
            while True:
                await cluster.send("a", "lanes")
                await trio.sleep(0.1)

        for _ in range(callers):
            nursery.start_soon(call)
        await trio.sleep(_SECONDS)
        count = upstream.probes.total()
        nursery.cancel_scope.cancel()
    share = count * _PROBE_COST_SECONDS / _SECONDS
    return [
        Figure(
            f"probes in {_SECONDS:g} s at 6 ms each, {callers} callers",
            f"{count} probes, {share:.2%} of the upstream's time",
            f"<= {_MAX_SHARE:.0%}",
            share <= _MAX_SHARE,
        )
    ]
