"""Prints figures on admission; `--fixed` measures the first version."""

import sys
from collections.abc import Awaitable, Callable, Iterator
from functools import partial

import trio
from trio.testing import MockClock

from bench.admission.figure import Figure
from bench.admission.fixed_slots import FixedSlots
from bench.admission.probes import measure_probes
from bench.admission.ramp import measure_fallback, measure_ramp
from bench.admission.tenants import measure_tenants
from bench.admission.tracking import measure_tracking
from rhubarbpaddle.admission import AdaptiveAdmission, Admission
from rhubarbpaddle.clock import Clock

Measurement = Callable[[], Awaitable[list[Figure]]]


def main(arguments: list[str]) -> int:
    """Prints a table; returns 0 whether or not the targets are met."""
    make = make_fixed if "--fixed" in arguments else AdaptiveAdmission
    print("| figure | measured | target | met |\n| --- | --- | --- | --- |")
    # A number measures only every so many: `1/3` is the second of each three.
    part, _, parts = next((a for a in arguments if "/" in a), "0/1").partition(
        "/"
    )
    measurements = list(iter_measurements(make))[int(part) :: int(parts)]
    for measurement in measurements:
        clock = MockClock(autojump_threshold=0)
        for figure in trio.run(measurement, clock=clock):
            met = {None: "-", True: "yes", False: "**no**"}[figure.met]
            print(
                f"| {figure.name} | {figure.value} | {figure.target} | {met} |",
                flush=True,
            )
    return 0


def make_fixed(
    slots: int, clock: Clock, *, baseline: float | None = None
) -> Admission:
    """Makes the first version."""
    return FixedSlots(slots, clock)


def iter_measurements(make: Callable[..., Admission]) -> Iterator[Measurement]:
    """Yields all measurements of an admission."""
    for jitter in (0.2, 0.9):
        yield partial(measure_tracking, make, jitter)
    for jitter in (0.2, 0.9):
        for seconds in (0.0, 2.0, 5.0, 15.0):
            for baseline in (None, 0.01):
                yield partial(measure_ramp, make, seconds, baseline, jitter)
        yield partial(measure_fallback, make, jitter)
    yield partial(measure_ramp, make, 15.0, None, 0.2, False)
    yield partial(measure_tenants, make)
    for callers in (0, 4):
        yield partial(measure_probes, callers)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
