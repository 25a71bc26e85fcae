"""Which requests may queue for an instance."""

import math
from collections import Counter

from rhubarbpaddle.admission.block_reason import BlockReason
from rhubarbpaddle.admission.fair_share import FairShare
from rhubarbpaddle.admission.instance_refusals import InstanceRefusals
from rhubarbpaddle.admission.queue_delay import would_delay_others
from rhubarbpaddle.admission.queue_wait_estimator import QueueWaitEstimator
from rhubarbpaddle.admission.queued_request import QueuedRequest
from rhubarbpaddle.admission.request_queue import RequestQueue
from rhubarbpaddle.admission.ticket import Ticket


class QueueAdmission:
    """Decides whether a request may queue, and where.

    A request is refused if it would only delay others: because its organisation
    is above its share, or because it will be late behind others that are.
    """

    def __init__(
        self,
        slots: int,
        queue: RequestQueue,
        fair_share: FairShare,
        wait_estimator: QueueWaitEstimator,
        refusals: InstanceRefusals,
        results: Counter[str],
    ) -> None:
        """Creates the decision for a queue.

        Args:
            slots: All slots of the instance, and the number of late requests
                that may queue before another one.
            queue: The queue.
            fair_share: Decides which requests are within their share.
            wait_estimator: Estimates how long a request would queue.
            refusals: Creates the refusals.
            results: Counts the requests that queue behind those of other
                organisations (`yielded`), or are refused for the same reason
                (`refused`).
        """
        self._slots = slots
        self._queue = queue
        self._fair_share = fair_share
        self._wait_estimator = wait_estimator
        self._refusals = refusals
        self._results = results

    def create_request(
        self, ticket: Ticket, work: float, now: float
    ) -> QueuedRequest:
        """Creates a request for the queue, without adding it.

        Args:
            ticket: The request.
            work: The expected duration of its work in seconds.
            now: Monotonic seconds.

        Raises:
            RefusedError: It may not queue.
        """
        useful_until = min(ticket.useful_until, ticket.deadline)
        request = self._queue.create_request(
            ticket.priority,
            useful_until - work,
            work,
            ticket.usage_ratio > 0
            and self._fair_share.count_next(ticket.organisation),
        )
        wait = self._wait_estimator.estimate(request, now)
        is_late = wait > 0 and now + wait + work > useful_until
        must_yield = request.is_above_share and wait > 0
        if must_yield:
            self._refuse_if_others_suffer(request, ticket, is_late, now)
        if is_late:
            request = request._replace(latest_start=-math.inf)
            wait = self._wait_estimator.estimate(request, now)
            if (
                self._queue.count_late_ahead(request, now) >= self._slots
                or now + wait + work > ticket.deadline
            ):
                raise self._refusals.create(BlockReason.FULL, wait)
        if must_yield:
            self._results["yielded"] += 1
        return request

    def _refuse_if_others_suffer(
        self,
        request: QueuedRequest,
        ticket: Ticket,
        is_late: bool,
        now: float,
    ) -> None:
        """Refuses a request above its share that would only delay others."""
        if not is_late and not would_delay_others(
            request,
            self._queue,
            lambda ahead: self._wait_estimator.estimate_behind(ahead, now),
            now,
        ):
            return
        # Once everything that is queued has started, and the organisation has
        # paused for long enough to be within its share.
        wait = max(
            self._wait_estimator.estimate_behind(len(self._queue), now),
            self._fair_share.get_excess_seconds(ticket.organisation),
        )
        self._results["refused"] += 1
        raise self._refusals.create_above_share(ticket.usage_ratio, wait)
