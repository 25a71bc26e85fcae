"""What a quiet tenant loses to a noisy one."""

import trio

from bench.admission.admission_factory import Factory
from bench.admission.figure import Figure
from bench.admission.load_generator import Load
from features.support.virtual_clock import VirtualClock
from standins.upstream import Upstream

_SLOTS = 6
_WARM_SECONDS = 10.0
_RUN_SECONDS = 60.0
_QUIET_RATE = 40.0


async def measure_tenants(make: Factory) -> list[Figure]:
    """Sends 40 requests/s of one tenant alone and beside 100 at once."""
    alone = await _measure(make, noisy=False)
    beside = await _measure(make, noisy=True)
    return [
        Figure("quiet tenant alone: p99", f"{alone * 1000:.1f} ms"),
        Figure(
            "quiet tenant beside a noisy one: p99",
            f"{beside * 1000:.1f} ms",
            "<= 2 x alone",
            beside <= 2 * alone,
        ),
    ]


async def _measure(make: Factory, noisy: bool) -> float:
    upstream = Upstream("lanes", "one", _SLOTS, 0.01)
    upstream.jitter = 0.2
    load = Load(make(_SLOTS, VirtualClock()), upstream)
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_closed, "warm-up", 6)
        await trio.sleep(_WARM_SECONDS)
        nursery.cancel_scope.cancel()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_open, "quiet", _QUIET_RATE, 1)
        if noisy:
            nursery.start_soon(load.run_closed, "noisy", 100)
        await trio.sleep(_RUN_SECONDS)
        nursery.cancel_scope.cancel()
    assert trio.current_time() >= start + _RUN_SECONDS
    latencies = sorted(load.latencies["quiet"])
    return latencies[int(len(latencies) * 0.99)]
