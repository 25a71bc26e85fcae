"""Estimates how long requests wait for an instance."""

from rhubarbpaddle.admission.cold_start import ColdStart
from rhubarbpaddle.admission.instance_capacity import InstanceCapacity
from rhubarbpaddle.admission.queued_request import QueuedRequest
from rhubarbpaddle.admission.request_queue import RequestQueue
from rhubarbpaddle.admission.work_estimator import WorkEstimator
from rhubarbpaddle.admission.yielding_starts import YieldingStarts


class QueueWaitEstimator:
    """Estimates the seconds until a request starts, from the queue before it.

    The estimates include the work that runs, the rate limit of a cold start
    and, for requests above their organisation's share, those that will
    overtake them.
    """

    def __init__(
        self,
        queue: RequestQueue,
        work: WorkEstimator,
        capacity: InstanceCapacity,
        cold_start: ColdStart,
        yielding_starts: YieldingStarts,
    ) -> None:
        """Creates an estimator.

        Args:
            queue: The queue of the instance.
            work: Estimates the work that the instance runs.
            capacity: Determines how many queued requests may run.
            cold_start: The instance's cold start.
            yielding_starts: Extends the wait of requests above their share.
        """
        self._queue = queue
        self._work = work
        self._capacity = capacity
        self._cold_start = cold_start
        self._yielding_starts = yielding_starts

    def estimate(self, request: QueuedRequest, now: float) -> float:
        """Returns the expected seconds until a request can start.

        Args:
            request: A request of the queue, or one that may be added to it.
            now: Monotonic seconds.
        """
        ahead = self._queue.count_ahead(request, now)
        return self._estimate_at(ahead, request.is_above_share, now)

    def estimate_unqueued(
        self, priority: int, is_above_share: bool, now: float
    ) -> float:
        """Returns about how long a request would wait if it were queued.

        It takes constant time, unlike `estimate`.

        Args:
            priority: The priority of its route.
            is_above_share: Whether it would yield to others of its priority.
            now: Monotonic seconds.
        """
        ahead = self._queue.count_up_to((priority, is_above_share))
        return self._estimate_at(ahead, is_above_share, now)

    def estimate_behind(self, ahead: int, now: float) -> float:
        """Returns the expected seconds until `ahead` requests have started."""
        limit = self._capacity.get_queue_limit()
        wait = self._work.estimate_wait(ahead, limit, now)
        return max(wait, self._cold_start.estimate_wait(ahead, now))

    def _estimate_at(
        self, ahead: int, is_above_share: bool, now: float
    ) -> float:
        wait = self.estimate_behind(ahead, now)
        if is_above_share:
            return self._yielding_starts.extend_wait(wait)
        return wait
