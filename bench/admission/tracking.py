"""Measures how closely the limit follows a capacity that changes."""

from statistics import median

import trio

from bench.admission.admission_factory import AdmissionFactory
from bench.admission.figure import Figure
from bench.admission.load_generator import LoadGenerator
from features.support.virtual_clock import VirtualClock
from standins.upstream import Upstream

_SLOTS = 12
_CAPACITIES = (12, 4, 8, 3, 10, 2, 6)
_PHASE_SECONDS = 12.0
_SETTLE_SECONDS = 5.0
_SAMPLE_SECONDS = 0.05
_MAX_DEVIATION = 0.25


async def measure_tracking(
    create_admission: AdmissionFactory, jitter: float
) -> list[Figure]:
    """Changes the capacity every 12 s under a closed loop of 24 requests."""
    upstream = Upstream("lanes", "one", _SLOTS, 0.01)
    upstream.jitter = jitter
    admission = create_admission(_SLOTS, VirtualClock())
    load = LoadGenerator(admission, upstream)
    deviations: list[float] = []
    throughput_sum = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_closed_loop, "club", 24)
        await trio.sleep(15)
        for capacity in _CAPACITIES:
            upstream.capacity = capacity
            phase_start = trio.current_time()
            responses_before = load.outcomes["answered"]
            while trio.current_time() < phase_start + _PHASE_SECONDS:
                await trio.sleep(_SAMPLE_SECONDS)
                if trio.current_time() > phase_start + _SETTLE_SECONDS:
                    limit = admission.get_report().limit
                    deviations.append(abs(limit - capacity) / capacity)
            max_responses = capacity * _PHASE_SECONDS / upstream.work_seconds
            throughput_sum += (
                load.outcomes["answered"] - responses_before
            ) / max_responses
        nursery.cancel_scope.cancel()
    median_deviation = median(deviations)
    throughput = throughput_sum / len(_CAPACITIES)
    name = f"work time varying by {jitter:.0%}"
    return [
        Figure(
            f"limit: deviation from the capacity, median, {name}",
            f"{median_deviation:.0%}",
            f"<= {_MAX_DEVIATION:.0%}",
            median_deviation <= _MAX_DEVIATION,
        ),
        Figure(
            f"limit: throughput relative to the capacity, {name}",
            f"{throughput:.0%}",
            ">= 90%",
            throughput >= 0.9,
        ),
    ]
