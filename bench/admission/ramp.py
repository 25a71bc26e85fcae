"""How long the ramp from cold start takes, and whether it does harm."""

import trio

from bench.admission.admission_factory import Factory
from bench.admission.figure import Figure
from bench.admission.load_generator import Load
from features.support.virtual_clock import VirtualClock
from standins.upstream import Upstream
from standins.warm_up import WarmUp

_SLOTS = 12
_LIMIT_SECONDS = 60.0
_RUN_SECONDS = 5.0
_POLL_SECONDS = 0.01
_FALL_BACKS = 5
_WORK_SECONDS = 0.01


async def measure_ramp(
    make: Factory,
    warm_up_seconds: float,
    baseline: float | None,
    jitter: float,
    shows_strain: bool = True,
) -> list[Figure]:
    """Starts a cold upstream under 24 requests at once."""
    upstream = Upstream("lanes", "one", _SLOTS, _WORK_SECONDS)
    upstream.jitter = jitter
    upstream.warm_up = WarmUp(_SLOTS, warm_up_seconds)
    upstream.warm_up.shows_strain = shows_strain
    admission = make(_SLOTS, VirtualClock(), baseline=baseline)
    load = Load(admission, upstream)
    taken = _LIMIT_SECONDS
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_closed, "club", 24)
        for _ in range(int(_LIMIT_SECONDS / _POLL_SECONDS)):
            await trio.sleep(_POLL_SECONDS)
            if _is_done(admission.get_report().limit, upstream):
                taken = trio.current_time()
                break
        await trio.sleep(_RUN_SECONDS)
        nursery.cancel_scope.cancel()
    known = "known" if baseline else "unknown"
    name = f"warm-up of {warm_up_seconds:g} s, normal latency {known}"
    name += f", work time varying by {jitter:.0%}"
    if not shows_strain:
        name += ", no strain shown (outside the assumption)"
    violations = upstream.warm_up.violations
    return [
        Figure(
            f"ramp: violations, {name}", f"{violations}", "0", violations == 0
        ),
        Figure(
            f"ramp: time until 3/4 of the slots, {name}",
            f"{taken:.1f} s" if taken < _LIMIT_SECONDS else "> 60 s",
            "warm-up + 10 s",
            taken <= warm_up_seconds + 10,
        ),
    ]


async def measure_fallback(make: Factory, jitter: float) -> list[Figure]:
    """Lets a warm upstream fall back into cold start without a word.

    Requests in flight at that moment can't be taken back, nor can those that
    enter before the first of them ends.
    """
    upstream = Upstream("lanes", "one", _SLOTS, _WORK_SECONDS)
    upstream.jitter = jitter
    upstream.warm_up = WarmUp(_SLOTS, 2.0)
    load = Load(make(_SLOTS, VirtualClock()), upstream)
    early = late = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_closed, "club", 24)
        await trio.sleep(20)
        for _ in range(_FALL_BACKS):
            start = upstream.warm_up.violations
            upstream.warm_up.restart()
            await trio.sleep(_WORK_SECONDS)
            first = upstream.warm_up.violations
            await trio.sleep(10)
            early += first - start
            late += upstream.warm_up.violations - first
        nursery.cancel_scope.cancel()
    name = f"{_FALL_BACKS} times, work time varying by {jitter:.0%}"
    return [
        Figure(
            f"fall back: violations within one warm latency, {name}", f"{early}"
        ),
        Figure(
            f"fall back: violations after that, {name}",
            f"{late}",
            "0",
            late == 0,
        ),
    ]


def _is_done(limit: int, upstream: Upstream) -> bool:
    assert upstream.warm_up is not None
    return limit >= _SLOTS * 3 // 4 and upstream.warm_up.get_warmth() >= 1
