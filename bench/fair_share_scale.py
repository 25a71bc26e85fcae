"""Measures the cost of fair queueing for each request.

Prints, for several numbers of organisations, the microseconds to record a usage
ratio and to decide whether the request yields; and, for several queue lengths,
to decide whether a request above its share would delay less urgent ones.
"""

import time
from collections.abc import Callable

from rhubarbpaddle.admission.fair_share import FairShare
from rhubarbpaddle.admission.queue_delay import would_delay_others
from rhubarbpaddle.admission.request_queue import RequestQueue

_ORGANISATIONS = (10, 80, 2_000)
_QUEUED = (10, 100, 400)
_ROUNDS = 5
_CALLS = 1_000
_WORK_SECONDS = 0.01


def measure_share(organisations: int) -> float:
    """Returns the microseconds for one request of an organisation above it."""
    share = FairShare()
    for number in range(organisations):
        share.record(str(number), 0.5 + number / organisations / 4, 0.0)
    share.record("hot", 4.0, 0.0)

    def decide() -> None:
        share.record("hot", 4.0, 0.5)
        share.count_next("hot")

    return _measure_us(decide, _CALLS)


def measure_delay(queued: int) -> float:
    """Returns the microseconds for a queue in which no request gets late."""
    queue = RequestQueue()
    for index in range(queued):
        # None is late, but the shortest slack is less than the longest wait.
        queue.add(queue.create_request(1, 0.02 * (index + 2), _WORK_SECONDS))
    request = queue.create_request(0, 9.0, _WORK_SECONDS, True)

    def estimate_wait(ahead: int) -> float:
        return ahead * _WORK_SECONDS

    def decide() -> None:
        assert not would_delay_others(request, queue, estimate_wait, 0.0)

    return _measure_us(decide, _CALLS // 20)


def _measure_us(call: Callable[[], object], calls: int) -> float:
    """Returns the lowest mean duration of a call in microseconds."""
    means = []
    for _ in range(_ROUNDS):
        started = time.perf_counter()
        for _ in range(calls):
            call()
        means.append((time.perf_counter() - started) / calls * 1e6)
    return min(means)


def main() -> None:
    """Prints a line for each size."""
    for count in _ORGANISATIONS:
        print(f"organisations={count} share_us={measure_share(count):.1f}")
    for queued in _QUEUED:
        print(f"queued={queued} delay_us={measure_delay(queued):.1f}")


if __name__ == "__main__":
    main()
