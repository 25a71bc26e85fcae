"""Admission control by the slots, speed and cold start of an instance."""

from collections import Counter
from collections.abc import Callable

from rhubarbpaddle.admission.block_reason import BlockReason
from rhubarbpaddle.admission.cold_start import ColdStart
from rhubarbpaddle.admission.failure_rate import FailureRate
from rhubarbpaddle.admission.fair_share import FairShare
from rhubarbpaddle.admission.instance_capacity import InstanceCapacity
from rhubarbpaddle.admission.instance_refusals import InstanceRefusals
from rhubarbpaddle.admission.instance_slot import InstanceSlot
from rhubarbpaddle.admission.instance_speed import (
    MAX_READING_AGE_SECONDS,
    InstanceSpeed,
)
from rhubarbpaddle.admission.queue_admission import QueueAdmission
from rhubarbpaddle.admission.queue_scheduler import (
    CHECK_INTERVAL_SECONDS,
    QueueScheduler,
)
from rhubarbpaddle.admission.queue_wait_estimator import QueueWaitEstimator
from rhubarbpaddle.admission.request_queue import RequestQueue
from rhubarbpaddle.admission.running_requests import RunningRequests
from rhubarbpaddle.admission.share_change import ShareChange
from rhubarbpaddle.admission.slot_contention import SlotContention
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.admission.work_estimator import WorkEstimator
from rhubarbpaddle.admission.yielding_starts import YieldingStarts
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import Evidence, EvidenceKind, LoadReport
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.membership import UpstreamState

# Fraction of the slots that is always used. Many instances slow down when they
# are nearly full, so the remaining slots are used only while requests wait.
REGULAR_SLOT_FRACTION = 0.75
# Mean remaining time of a slow period: these last 0.1 to 0.5 s.
_SLOW_PERIOD_REST_SECONDS = 0.17


class InstanceAdmission:
    """Admits requests to one instance while it can serve them in time.

    Attributes:
        regular_slots: Slots that are always used.
        slots: All slots, including the last ones, which are used only while
            requests wait.
        cold_start: The cold start of the instance.
    """

    def __init__(
        self,
        slots: int,
        cold_rate: float,
        monitor: InstanceMonitor,
        clock: Clock,
        on_share_change: Callable[[ShareChange], None] | None = None,
        share_results: Counter[str] | None = None,
    ) -> None:
        """Creates the admission control of an idle instance.

        Args:
            slots: Requests that the instance can run concurrently.
            cold_rate: Requests per second that it can sustain while cold.
            monitor: Reads the instance's slowdown factor and remaining cold
                start time.
            clock: The source of time.
            on_share_change: Called when an organisation goes above its share
                or returns to it.
            share_results: Counts the requests that were queued behind those of
                other organisations (`yielded`), or refused for the same reason
                (`refused`).
        """
        self.regular_slots = max(1, int(slots * REGULAR_SLOT_FRACTION))
        self.slots = max(self.regular_slots, slots)
        self.cold_start = ColdStart(cold_rate)
        self._monitor = monitor
        self._clock = clock
        self._failures = FailureRate(clock)
        self._estimator = WorkEstimator()
        contention = SlotContention(self.regular_slots, self.slots)
        self._running = RunningRequests(
            self.regular_slots,
            self._estimator,
            contention,
            self._failures,
            self._handle_end,
        )
        self._speed = InstanceSpeed(monitor, self.cold_start, clock)
        self._capacity = InstanceCapacity(
            self.regular_slots,
            self.slots,
            self._running,
            contention,
            self.cold_start,
            self._speed,
            self._failures,
            clock,
        )
        self._queue = RequestQueue()
        self._fair_share = FairShare(on_share_change)
        self._yielding_starts = YieldingStarts()
        self._wait_estimator = QueueWaitEstimator(
            self._queue,
            self._estimator,
            self._capacity,
            self.cold_start,
            self._yielding_starts,
        )
        self._refusals = InstanceRefusals(self.slots, monitor, self.get_report)
        self._queue_admission = QueueAdmission(
            self.slots,
            self._queue,
            self._fair_share,
            self._wait_estimator,
            self._refusals,
            Counter() if share_results is None else share_results,
        )
        self._scheduler = QueueScheduler(
            self._queue,
            self._capacity,
            self._speed,
            self._wait_estimator,
            self._refusals,
            clock,
        )

    @property
    def in_flight(self) -> int:
        """Requests that the instance runs."""
        return self._running.count

    def set_cold(self, seconds: float) -> None:
        """Sets the remaining cold start time that the instance reports."""
        self.cold_start.set_end(self._clock.monotonic() + seconds)

    def get_report(self) -> LoadReport:
        """Returns the current load."""
        now = self._clock.monotonic()
        return LoadReport(
            self._running.count,
            len(self._queue),
            self.regular_slots,
            UpstreamState.COLD
            if self.cold_start.is_active(now)
            else UpstreamState.WARM,
            self._speed.get_relative_slowdown(now, CHECK_INTERVAL_SECONDS * 2),
        )

    def count_above_share(self) -> int | None:
        """Returns how many organisations are above their share.

        The result is None if no request has carried a usage ratio.
        """
        return self._fair_share.count_above_share(self._clock.monotonic())

    async def acquire(self, ticket: Ticket) -> InstanceSlot:
        """Waits until the instance can accept a request.

        Args:
            ticket: The request. If it may not queue, it is refused when it
                can't start immediately.

        Raises:
            RefusedError: The request was refused and did not run.
        """
        if ticket.usage_ratio > 0:
            self._fair_share.record(
                ticket.organisation,
                ticket.usage_ratio,
                self._clock.monotonic(),
            )
        if ticket.may_queue:
            await self._wait_in_queue(ticket)
        else:
            # A check of the instance would not change this.
            self._refuse_if_occupied(ticket)
            await self._speed.refresh(MAX_READING_AGE_SECONDS)
            self._refuse_if_occupied(ticket)
            reason = self._capacity.find_block_reason(self.regular_slots)
            if reason is not None and not self._may_start_trial(reason):
                raise self._make_immediate_refusal(reason, ticket)
        now = self._clock.monotonic()
        self.cold_start.rate_limit.add(now)
        return self._running.start(
            ticket, self._speed.get_start_slowdown(), now
        )

    def _refuse_if_occupied(self, ticket: Ticket) -> None:
        """Refuses a request that may not queue if there is no room for it."""
        reason = self._capacity.find_occupancy(self.regular_slots)
        if reason is None and len(self._queue):
            reason = BlockReason.FULL
        if reason is not None:
            raise self._make_immediate_refusal(reason, ticket)

    def _may_start_trial(self, reason: BlockReason) -> bool:
        return (
            reason is BlockReason.FAILING and self._failures.try_start_trial()
        )

    def _make_immediate_refusal(
        self, reason: BlockReason, ticket: Ticket
    ) -> RefusedError:
        """Returns the refusal of a request that has not been queued.

        It contains about how long the request would wait in the queue.
        """
        is_above_share = (
            ticket.usage_ratio > 0
            and self._fair_share.is_next_above_share(ticket.organisation)
        )
        wait = self._wait_estimator.estimate_unqueued(
            ticket.priority, is_above_share, self._clock.monotonic()
        )
        if reason in (BlockReason.SLOW, BlockReason.FAILING):
            wait = max(wait, _SLOW_PERIOD_REST_SECONDS)
        return self._refusals.create(reason, wait)

    async def _wait_in_queue(self, ticket: Ticket) -> None:
        """Queues a request until the instance can accept it.

        Raises:
            RefusedError: The request can't be answered before its deadline,
                or it would miss its latency target and too many late requests
                are queued before it, or its organisation is above its share
                and it would only delay others, or it comes from another zone
                and requests of this zone are queued.
        """
        limit = self._capacity.get_queue_limit()
        if self._capacity.find_occupancy(limit) is None:
            await self._speed.refresh(MAX_READING_AGE_SECONDS)
        # Requests may have queued during the check.
        if ticket.spillover and self._scheduler.preferred_queued:
            raise self._make_immediate_refusal(BlockReason.FULL, ticket)
        now = self._clock.monotonic()
        work = self._estimator.get_work(ticket, now)
        work *= self._speed.get_cold_factor(now)
        self._scheduler.refuse_if_too_slow(ticket, work, now)
        request = self._queue_admission.create_request(ticket, work, now)
        await self._scheduler.wait_for_start(request, ticket, work)
        if ticket.usage_ratio > 0:
            self._yielding_starts.record(request.is_above_share)

    def _handle_end(self, evidence: Evidence) -> None:
        if evidence.kind is EvidenceKind.LOST:
            # The instance may have restarted and be cold.
            self._monitor.invalidate()
        self._scheduler.wake_first()
