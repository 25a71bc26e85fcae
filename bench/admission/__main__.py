"""Measures admission: `python -m bench.admission [--fixed] [OFFSET/STEP]`.

`--fixed` measures `FixedSlots` instead of `AdaptiveAdmission`. `1/3` selects
the second of every three measurements, so that processes can share the work.
"""

import sys
from collections.abc import Awaitable, Callable, Iterator
from functools import partial

import trio
from trio.testing import MockClock

from bench.admission.figure import Figure
from bench.admission.fixed_slots import FixedSlots
from bench.admission.organisations import measure_organisations
from bench.admission.probes import measure_probes
from bench.admission.ramp import measure_ramp, measure_unannounced_restarts
from bench.admission.tracking import measure_tracking
from rhubarbpaddle.admission.adaptive_admission import AdaptiveAdmission
from rhubarbpaddle.admission.admission import Admission
from rhubarbpaddle.clock import Clock

Measurement = Callable[[], Awaitable[list[Figure]]]


def main(arguments: list[str]) -> int:
    """Prints a table of figures; returns 0 even if targets are missed."""
    create_admission = (
        create_fixed_slots if "--fixed" in arguments else AdaptiveAdmission
    )
    print("| figure | measured | target | met |\n| --- | --- | --- | --- |")
    offset, _, step = next(
        (argument for argument in arguments if "/" in argument), "0/1"
    ).partition("/")
    measurements = list(iter_measurements(create_admission))[
        int(offset) :: int(step)
    ]
    for measurement in measurements:
        clock = MockClock(autojump_threshold=0)
        for figure in trio.run(measurement, clock=clock):
            met = {None: "-", True: "yes", False: "**no**"}[figure.met]
            print(
                f"| {figure.name} | {figure.value} | {figure.target} | {met} |",
                flush=True,
            )
    return 0


def create_fixed_slots(
    slots: int, clock: Clock, *, baseline: float | None = None
) -> Admission:
    """Creates the baseline, which ignores the warm latency."""
    return FixedSlots(slots, clock)


def iter_measurements(
    create_admission: Callable[..., Admission],
) -> Iterator[Measurement]:
    """Yields all measurements of an implementation of admission."""
    for jitter in (0.2, 0.9):
        yield partial(measure_tracking, create_admission, jitter)
    for jitter in (0.2, 0.9):
        for seconds in (0.0, 2.0, 5.0, 15.0):
            for baseline in (None, 0.01):
                yield partial(
                    measure_ramp, create_admission, seconds, baseline, jitter
                )
        yield partial(measure_unannounced_restarts, create_admission, jitter)
    yield partial(measure_ramp, create_admission, 15.0, None, 0.2, False)
    yield partial(measure_organisations, create_admission)
    for callers in (0, 4):
        yield partial(measure_probes, callers)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
