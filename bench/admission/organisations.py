"""Measures how a noisy organisation affects the latency of a quiet one."""

import trio

from bench.admission.admission_factory import AdmissionFactory
from bench.admission.figure import Figure
from bench.admission.load_generator import LoadGenerator
from features.support.virtual_clock import VirtualClock
from standins.upstream import Upstream

_SLOTS = 6
_WARM_UP_SECONDS = 10.0
_RUN_SECONDS = 60.0
# Requests per second.
_QUIET_RATE = 40.0


async def measure_organisations(
    create_admission: AdmissionFactory,
) -> list[Figure]:
    """Compares 40 requests/s alone and beside 100 in a closed loop."""
    alone = await _measure(create_admission, noisy=False)
    contended = await _measure(create_admission, noisy=True)
    return [
        Figure("quiet organisation alone: p99", f"{alone * 1000:.1f} ms"),
        Figure(
            "quiet organisation beside a noisy one: p99",
            f"{contended * 1000:.1f} ms",
            "<= 2 x alone",
            contended <= 2 * alone,
        ),
    ]


async def _measure(create_admission: AdmissionFactory, noisy: bool) -> float:
    upstream = Upstream("lanes", "one", _SLOTS, 0.01)
    upstream.jitter = 0.2
    load = LoadGenerator(create_admission(_SLOTS, VirtualClock()), upstream)
    warm_up_start = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_closed_loop, "warm-up", 6)
        await trio.sleep(_WARM_UP_SECONDS)
        nursery.cancel_scope.cancel()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_open_loop, "quiet", _QUIET_RATE, 1)
        if noisy:
            nursery.start_soon(load.run_closed_loop, "noisy", 100)
        await trio.sleep(_RUN_SECONDS)
        nursery.cancel_scope.cancel()
    assert trio.current_time() >= warm_up_start + _RUN_SECONDS
    latencies = sorted(load.latencies["quiet"])
    return latencies[int(len(latencies) * 0.99)]
