"""Whether a queued request would make others miss their latency target."""

from collections.abc import Callable

from rhubarbpaddle.admission.queued_request import QueuedRequest
from rhubarbpaddle.admission.request_queue import RequestQueue


def would_delay_others(
    request: QueuedRequest,
    queue: RequestQueue,
    estimate_wait: Callable[[int], float],
    now: float,
) -> bool:
    """Returns whether a request would make less urgent ones late.

    Only requests within their organisation's share count, and only those that
    can still meet their latency target. Those of the request's own priority
    are not delayed by it if it is above its share.

    Args:
        request: A request that is not in the queue yet.
        queue: The queue.
        estimate_wait: Returns the expected seconds until a request can start,
            given the number of requests that are queued before it.
        now: Monotonic seconds.
    """
    least_urgent_wait = estimate_wait(len(queue))
    earliest = queue.get_earliest_latest_start(request.priority, now)
    if now + least_urgent_wait <= earliest:
        return False
    ordered = sorted(queue, key=lambda other: other.get_zero_slack_rank(now))
    return any(
        other.priority > request.priority
        and not other.is_above_share
        and not other.is_late(now)
        and now + estimate_wait(ahead) > other.latest_start
        for ahead, other in enumerate(ordered, start=1)
    )
