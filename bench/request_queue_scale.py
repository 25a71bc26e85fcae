"""Measures how the cost of the request queue grows with its length.

Measures three operations with 10, 100 and 400 queued requests: finding the
first request, adding and removing a request, and finding the first request by
a linear scan, as an earlier version did.
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


class QueueCost(NamedTuple):
    """The costs for one queue length, each the lowest of several rounds.

    Attributes:
        queued: The number of queued requests.
        first_us: Microseconds to find the first request.
        change_us: Microseconds to add and remove a request.
        scan_us: Microseconds to find the first request by a linear scan.
    """

    queued: int
    first_us: float
    change_us: float
    scan_us: float


def measure(queued: int) -> QueueCost:
    """Measures a queue in which a quarter of the requests are late.

    Args:
        queued: The number of queued requests.
    """
    queue = RequestQueue()
    for index in range(queued):
        latest_start = _NOW + 0.3 * (index / queued - 0.25)
        queue.add(queue.create_request(1, latest_start, _WORK_SECONDS))
    requests = list(queue)

    def change() -> None:
        request = queue.create_request(1, _NOW + 0.1, _WORK_SECONDS)
        queue.add(request)
        queue.remove(request)

    def scan() -> None:
        min(requests, key=lambda request: request.get_rank(_NOW))

    return QueueCost(
        queued,
        _measure_us(lambda: queue.get_first(_NOW)),
        _measure_us(change),
        _measure_us(scan),
    )


def _measure_us(call: Callable[[], object]) -> float:
    """Returns the lowest mean duration of a call in microseconds."""
    means = []
    for _ in range(_ROUNDS):
        started = time.perf_counter()
        for _ in range(_CALLS):
            call()
        means.append((time.perf_counter() - started) / _CALLS * 1e6)
    return min(means)


def main() -> None:
    """Prints a line for each queue length."""
    for queued in _SIZES:
        cost = measure(queued)
        print(
            f"queued={cost.queued} first_us={cost.first_us:.1f} "
            f"change_us={cost.change_us:.1f} scan_us={cost.scan_us:.1f}"
        )


if __name__ == "__main__":
    main()
