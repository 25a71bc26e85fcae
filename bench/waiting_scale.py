"""Time to keep requests in line over how many wait for one instance.

Measures, with 10, 100 and 400 waiting requests, the choice of the first, a
request that comes and goes, and the choice by a look at each, which the line
once made.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from rhubarbpaddle.admission.request_queue import RequestQueue

_SIZES = (10, 100, 400)
_ROUNDS = 5
_CALLS = 1_000
_WORK_SECONDS = 0.1
_NOW = 0.05


class Figures(NamedTuple):
    """The lowest of several rounds.

    Attributes:
        waiting: Requests in line.
        first_us: Microseconds for the choice of the first.
        change_us: Microseconds for a request that comes and goes.
        scan_us: Microseconds for the choice by a look at each.
    """

    waiting: int
    first_us: float
    change_us: float
    scan_us: float


def measure(waiting: int) -> Figures:
    """Returns the figures of a line of this length; a quarter is late."""
    line = RequestQueue()
    for index in range(waiting):
        latest = _NOW + 0.3 * (index / waiting - 0.25)
        line.add(line.create_request(1, latest, _WORK_SECONDS))
    members = list(line)

    def change() -> None:
        request = line.create_request(1, _NOW + 0.1, _WORK_SECONDS)
        line.add(request)
        line.remove(request)

    def scan() -> None:
        min(members, key=lambda request: request.get_rank(_NOW))

    return Figures(
        waiting,
        _time(lambda: line.get_first(_NOW)),
        _time(change),
        _time(scan),
    )


def _time(call: Callable[[], object]) -> float:
    """Returns the microseconds of a call, the least mean of all rounds."""
    means = []
    for _ in range(_ROUNDS):
        started = time.perf_counter()
        for _ in range(_CALLS):
            call()
        means.append((time.perf_counter() - started) / _CALLS * 1e6)
    return min(means)


def main() -> None:
    """Prints a line for each length."""
    for waiting in _SIZES:
        figures = measure(waiting)
        print(
            f"waiting={figures.waiting} first_us={figures.first_us:.1f} "
            f"change_us={figures.change_us:.1f} scan_us={figures.scan_us:.1f}"
        )


if __name__ == "__main__":
    main()
