"""Measures how long a ramp takes and how often it overloads the upstream."""

import trio

from bench.admission.admission_factory import AdmissionFactory
from bench.admission.figure import Figure
from bench.admission.load_generator import LoadGenerator
from features.support.virtual_clock import VirtualClock
from standins.upstream import Upstream
from standins.warm_up import WarmUp

_SLOTS = 12
_TIMEOUT_SECONDS = 60.0
_RUN_SECONDS = 5.0
_POLL_SECONDS = 0.01
_RESTARTS = 5
_WORK_SECONDS = 0.01


async def measure_ramp(
    create_admission: AdmissionFactory,
    warm_up_seconds: float,
    baseline: float | None,
    jitter: float,
    slows_under_load: bool = True,
) -> list[Figure]:
    """Starts a cold upstream under a closed loop of 24 requests."""
    upstream = Upstream("lanes", "one", _SLOTS, _WORK_SECONDS)
    upstream.jitter = jitter
    upstream.warm_up = WarmUp(_SLOTS, warm_up_seconds)
    upstream.warm_up.slows_under_load = slows_under_load
    admission = create_admission(_SLOTS, VirtualClock(), baseline=baseline)
    load = LoadGenerator(admission, upstream)
    ramp_seconds = _TIMEOUT_SECONDS
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_closed_loop, "club", 24)
        for _ in range(int(_TIMEOUT_SECONDS / _POLL_SECONDS)):
            await trio.sleep(_POLL_SECONDS)
            if _is_ramp_complete(admission.get_report().limit, upstream):
                ramp_seconds = trio.current_time()
                break
        await trio.sleep(_RUN_SECONDS)
        nursery.cancel_scope.cancel()
    baseline_state = "known" if baseline else "unknown"
    name = f"warm-up of {warm_up_seconds:g} s, normal latency {baseline_state}"
    name += f", work time varying by {jitter:.0%}"
    if not slows_under_load:
        name += ", latency does not rise with load (outside the assumption)"
    violations = upstream.warm_up.violations
    return [
        Figure(
            f"ramp: violations, {name}", f"{violations}", "0", violations == 0
        ),
        Figure(
            f"ramp: time until 3/4 of the slots, {name}",
            f"{ramp_seconds:.1f} s"
            if ramp_seconds < _TIMEOUT_SECONDS
            else "> 60 s",
            "warm-up + 10 s",
            ramp_seconds <= warm_up_seconds + 10,
        ),
    ]


async def measure_unannounced_restarts(
    create_admission: AdmissionFactory, jitter: float
) -> list[Figure]:
    """Makes a warm upstream cold several times without an announcement.

    Violations within one warm latency are counted separately. Admission can't
    prevent them: it can detect the restart only when the first of the requests
    in flight ends.
    """
    upstream = Upstream("lanes", "one", _SLOTS, _WORK_SECONDS)
    upstream.jitter = jitter
    upstream.warm_up = WarmUp(_SLOTS, 2.0)
    load = LoadGenerator(create_admission(_SLOTS, VirtualClock()), upstream)
    early_violations = late_violations = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_closed_loop, "club", 24)
        await trio.sleep(20)
        for _ in range(_RESTARTS):
            violations_before = upstream.warm_up.violations
            upstream.warm_up.restart()
            await trio.sleep(_WORK_SECONDS)
            violations_after_work = upstream.warm_up.violations
            await trio.sleep(10)
            early_violations += violations_after_work - violations_before
            late_violations += (
                upstream.warm_up.violations - violations_after_work
            )
        nursery.cancel_scope.cancel()
    name = f"{_RESTARTS} times, work time varying by {jitter:.0%}"
    return [
        Figure(
            f"unannounced restart: violations within one warm latency, {name}",
            f"{early_violations}",
        ),
        Figure(
            f"unannounced restart: violations after that, {name}",
            f"{late_violations}",
            "0",
            late_violations == 0,
        ),
    ]


def _is_ramp_complete(limit: int, upstream: Upstream) -> bool:
    assert upstream.warm_up is not None
    return limit >= _SLOTS * 3 // 4 and upstream.warm_up.get_warmth() >= 1
