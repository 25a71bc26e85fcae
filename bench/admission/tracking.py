"""How close the limit comes to a capacity that changes."""

from statistics import median

import trio

from bench.admission.admission_factory import Factory
from bench.admission.figure import Figure
from bench.admission.load_generator import Load
from features.support.virtual_clock import VirtualClock
from standins.upstream import Upstream

_SLOTS = 12
_CAPACITIES = (12, 4, 8, 3, 10, 2, 6)
_PHASE_SECONDS = 12.0
_SETTLE_SECONDS = 5.0
_SAMPLE_SECONDS = 0.05
_TARGET = 0.25


async def measure_tracking(make: Factory, jitter: float) -> list[Figure]:
    """Changes the capacity each 12 s under a load of 24 requests at once."""
    upstream = Upstream("lanes", "one", _SLOTS, 0.01)
    upstream.jitter = jitter
    admission = make(_SLOTS, VirtualClock())
    load = Load(admission, upstream)
    settled: list[float] = []
    answered = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_closed, "club", 24)
        await trio.sleep(15)
        for capacity in _CAPACITIES:
            upstream.capacity = capacity
            begin = trio.current_time()
            before = load.ends["answered"]
            while trio.current_time() < begin + _PHASE_SECONDS:
                await trio.sleep(_SAMPLE_SECONDS)
                if trio.current_time() > begin + _SETTLE_SECONDS:
                    limit = admission.get_report().limit
                    settled.append(abs(limit - capacity) / capacity)
            possible = capacity * _PHASE_SECONDS / upstream.work_seconds
            answered += (load.ends["answered"] - before) / possible
        nursery.cancel_scope.cancel()
    deviation = median(settled)
    used = answered / len(_CAPACITIES)
    name = f"work time varying by {jitter:.0%}"
    return [
        Figure(
            f"limit: deviation from the capacity, median, {name}",
            f"{deviation:.0%}",
            f"<= {_TARGET:.0%}",
            deviation <= _TARGET,
        ),
        Figure(
            f"limit: answers of those possible, {name}",
            f"{used:.0%}",
            ">= 90%",
            used >= 0.9,
        ),
    ]
