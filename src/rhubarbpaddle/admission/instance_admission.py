"""Admission control by the slots, speed and cold start of an instance."""

import math
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import trio

from rhubarbpaddle.admission.block_reason import BlockReason
from rhubarbpaddle.admission.cold_start_rate_limit import ColdStartRateLimit
from rhubarbpaddle.admission.failure_rate import FailureRate
from rhubarbpaddle.admission.fair_share import FairShare
from rhubarbpaddle.admission.instance_slot import InstanceSlot
from rhubarbpaddle.admission.queue_delay import would_delay_others
from rhubarbpaddle.admission.queued_request import QueuedRequest
from rhubarbpaddle.admission.request_queue import RequestQueue
from rhubarbpaddle.admission.share_change import ShareChange
from rhubarbpaddle.admission.slot_contention import SlotContention
from rhubarbpaddle.admission.slot_use import SlotUse
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
# An instance counts as slow at this slowdown factor: a request rarely meets its
# latency target if it starts while work takes at least twice as long as usual.
SLOWDOWN_THRESHOLD = 2.0
# Maximum age of a reading that still represents the current slowdown factor:
# slow periods last 100 ms or more.
MAX_READING_AGE_SECONDS = 0.025
# How often the first queued request checks whether it may start.
_CHECK_INTERVAL_SECONDS = 0.02
# Minimum interval between the checks of late requests behind the first.
_LATE_CHECK_INTERVAL_SECONDS = 0.1
_MIN_RETRY_AFTER = timedelta(milliseconds=100)
# Mean remaining time of a slow period: these last 0.1 to 0.5 s.
_SLOW_PERIOD_REST_SECONDS = 0.17
_FAILURE_KINDS = frozenset(
    {
        EvidenceKind.FAILED,
        EvidenceKind.LOST,
        EvidenceKind.TIMED_OUT,
    }
)


class InstanceAdmission:
    """Admits requests to one instance while it can serve them in time.

    Attributes:
        regular_slots: Slots that are always used.
        slots: All slots, including the last ones, which are used only while
            requests wait.
        cold_start_limit: The rate limit during a cold start.
        in_flight: Requests that the instance runs.
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
        self.cold_start_limit = ColdStartRateLimit(cold_rate)
        self.in_flight = 0
        self._cold_until = float("-inf")
        self._monitor = monitor
        self._clock = clock
        self._failures = FailureRate(clock)
        self._estimator = WorkEstimator()
        self._contention = SlotContention(self.regular_slots, self.slots)
        self._last_slot_starts = 0
        self._queue = RequestQueue()
        self._fair_share = FairShare(on_share_change)
        self._share_results = (
            Counter() if share_results is None else share_results
        )
        self._yielding_starts = YieldingStarts()
        # Queued requests that have not left a zone with instances.
        self._preferred_queued = 0

    def set_cold(self, seconds: float) -> None:
        """Sets the remaining cold start time that the instance reports."""
        self._cold_until = self._clock.monotonic() + seconds

    def is_cold(self) -> bool:
        """Returns whether the instance is in its cold start."""
        return self._clock.monotonic() < self._cold_until

    def get_report(self) -> LoadReport:
        """Returns the current load."""
        state = UpstreamState.COLD if self.is_cold() else UpstreamState.WARM
        return LoadReport(
            self.in_flight,
            len(self._queue),
            self.regular_slots,
            state,
            self._get_relative_slowdown(_CHECK_INTERVAL_SECONDS * 2),
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
            await self._refresh(MAX_READING_AGE_SECONDS)
            self._refuse_if_occupied(ticket)
            reason = self._find_block_reason(self.regular_slots)
            if reason is not None and not self._may_start_trial(reason):
                raise self._make_immediate_refusal(reason, ticket)
        return self._admit(ticket)

    def _refuse_if_occupied(self, ticket: Ticket) -> None:
        """Refuses a request that may not queue if there is no room for it."""
        reason = self._find_occupancy(self.regular_slots)
        if reason is None and len(self._queue):
            reason = BlockReason.FULL
        if reason is not None:
            raise self._make_immediate_refusal(reason, ticket)

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
        ahead = self._queue.count_up_to((ticket.priority, is_above_share))
        wait = self._estimate_wait_behind(ahead, self._clock.monotonic())
        if is_above_share:
            wait = self._yielding_starts.extend_wait(wait)
        if reason in (BlockReason.SLOW, BlockReason.FAILING):
            wait = max(wait, _SLOW_PERIOD_REST_SECONDS)
        return self._make_refusal(reason, wait)

    def _admit(self, ticket: Ticket) -> InstanceSlot:
        self.in_flight += 1
        now = self._clock.monotonic()
        self.cold_start_limit.add(now)
        slowdown = self._monitor.get_slowdown(MAX_READING_AGE_SECONDS * 2)
        key = self._estimator.begin(ticket, now, max(1.0, slowdown))
        in_last_slot = self.in_flight > self.regular_slots
        self._last_slot_starts += in_last_slot
        starts_before = self._last_slot_starts

        def on_release(evidence: Evidence) -> None:
            self.in_flight -= 1
            self._estimator.end(key)
            if evidence.kind is EvidenceKind.RESPONDED:
                self._failures.record(False)
                if evidence.latency is not None:
                    use = SlotUse.FIRST
                    if in_last_slot:
                        use = SlotUse.LAST
                    elif self._last_slot_starts > starts_before:
                        use = SlotUse.BESIDE_LAST
                    self._record_time(
                        ticket.route, evidence.latency / max(1.0, slowdown), use
                    )
            elif evidence.kind in _FAILURE_KINDS:
                self._failures.record(True)
            if evidence.kind is EvidenceKind.LOST:
                # The instance may have restarted and be cold.
                self._monitor.invalidate()
            self._wake_first()

        return InstanceSlot(on_release)

    async def _refresh(self, max_age: float) -> None:
        await self._monitor.refresh(max_age)
        reading = self._monitor.reading
        if reading is not None and reading.cold_seconds is not None:
            remaining = reading.cold_seconds - self._monitor.get_age()
            self._cold_until = self._clock.monotonic() + remaining

    def _record_time(self, route: str, seconds: float, use: SlotUse) -> None:
        self._contention.record(
            self._estimator.compute_ratio(route, seconds), use
        )
        self._estimator.record(route, seconds, use is SlotUse.FIRST)

    def _find_occupancy(self, limit: int) -> BlockReason | None:
        """Returns why there is no room, which this node knows by itself."""
        now = self._clock.monotonic()
        if self.is_cold() and not self.cold_start_limit.has_capacity(now):
            return BlockReason.COLD
        if self.in_flight >= limit:
            return BlockReason.FULL
        return None

    def _find_block_reason(self, limit: int) -> BlockReason | None:
        occupancy = self._find_occupancy(limit)
        if occupancy is not None:
            return occupancy
        if (
            self._get_relative_slowdown(MAX_READING_AGE_SECONDS * 2)
            >= SLOWDOWN_THRESHOLD
        ):
            return BlockReason.SLOW
        if self._failures.is_failing():
            return BlockReason.FAILING
        return None

    def _get_cold_factor(self) -> float:
        """Returns how many times as long work takes because of a cold start."""
        return self._monitor.get_cold_factor() if self.is_cold() else 1.0

    def _get_relative_slowdown(self, max_age: float) -> float:
        """Returns the slowdown factor without the part of a cold start."""
        slowdown = self._monitor.get_slowdown(max_age)
        return slowdown / self._get_cold_factor()

    def _may_start_trial(self, reason: BlockReason) -> bool:
        return (
            reason is BlockReason.FAILING and self._failures.try_start_trial()
        )

    async def _wait_in_queue(self, ticket: Ticket) -> None:
        """Queues a request until the instance can accept it.

        Raises:
            RefusedError: The request can't be answered before its deadline,
                or it would miss its latency target and too many late requests
                are queued before it, or its organisation is above its share
                and it would only delay others, or it comes from another zone
                and requests of this zone are queued.
        """
        if self._find_occupancy(self._get_limit_for_queued()) is None:
            await self._refresh(MAX_READING_AGE_SECONDS)
        # Requests may have queued during the check.
        if ticket.spillover and self._preferred_queued:
            raise self._make_immediate_refusal(BlockReason.FULL, ticket)
        now = self._clock.monotonic()
        work = self._estimator.get_work(ticket, now) * self._get_cold_factor()
        self._refuse_if_too_slow(ticket, work, now)
        useful_until = min(ticket.useful_until, ticket.deadline)
        request = self._queue.create_request(
            ticket.priority,
            useful_until - work,
            work,
            ticket.usage_ratio > 0
            and self._fair_share.count_next(ticket.organisation),
        )
        wait = self._estimate_wait(request, now)
        is_late = wait > 0 and now + wait + work > useful_until
        must_yield = request.is_above_share and wait > 0
        if must_yield:
            self._refuse_if_others_suffer(request, ticket, is_late, now)
        if is_late:
            request = request._replace(latest_start=-math.inf)
            wait = self._estimate_wait(request, now)
            if (
                self._queue.count_late_ahead(request, now) >= self.slots
                or now + wait + work > ticket.deadline
            ):
                raise self._make_refusal(BlockReason.FULL, wait)
        if must_yield:
            self._share_results["yielded"] += 1
        self._queue.add(request)
        self._preferred_queued += not ticket.spillover
        try:
            while not self._may_start(request, ticket, work):
                self._refuse_if_too_slow(ticket, work, self._clock.monotonic())
                wait = self._check_deadline(request, ticket, work)
                was_first = self._is_first(request)
                refused_at = ticket.deadline - work - wait
                seconds = self._get_sleep_seconds(request, refused_at)
                with trio.move_on_after(seconds) as sleep:
                    await request.parking_lot.park()
                if self._is_first(request):
                    await self._refresh_if_room()
                elif was_first or not sleep.cancelled_caught:
                    # Another request has become the first in the meantime.
                    self._wake_first()
            if ticket.usage_ratio > 0:
                self._yielding_starts.record(request.is_above_share)
        finally:
            self._queue.remove(request)
            self._preferred_queued -= not ticket.spillover
            self._wake_first()

    def _refuse_if_others_suffer(
        self,
        request: QueuedRequest,
        ticket: Ticket,
        is_late: bool,
        now: float,
    ) -> None:
        """Refuses a request above its share that would only delay others.

        Another instance's queue would make the same decision, so that the
        request is not sent there.
        """
        if not is_late and not would_delay_others(
            request,
            self._queue,
            lambda ahead: self._estimate_wait_behind(ahead, now),
            now,
        ):
            return
        # Once everything that is queued has started, and the organisation has
        # paused for long enough to be within its share.
        wait = max(
            self._estimate_wait_behind(len(self._queue), now),
            self._fair_share.get_excess_seconds(ticket.organisation),
        )
        self._share_results["refused"] += 1
        raise RefusedError(
            "organisation_above_share",
            f"the organisation uses {ticket.usage_ratio:.2f} of its cap, more"
            f" than the others: {self._describe()}",
            step="admit",
            retry_after=max(_MIN_RETRY_AFTER, timedelta(seconds=wait)),
            report=self.get_report(),
        )

    def _refuse_if_too_slow(
        self, ticket: Ticket, work: float, now: float
    ) -> None:
        """Refuses a request that a lasting slowdown doesn't let end in time.

        The end of a slow period would be worth waiting for.
        """
        if self.is_cold():
            # The expected work includes the slowdown.
            return
        lasting_work = work * self._monitor.get_lasting_factor()
        if now + lasting_work > ticket.deadline:
            raise self._make_refusal(BlockReason.SLOW, lasting_work)

    async def _refresh_if_room(self) -> None:
        """Checks the instance for the first queued request.

        Without room it can't start, and checks of full instances would add up
        to 50 a second for each.
        """
        if self._find_occupancy(self._get_limit_for_queued()) is None:
            await self._refresh(_CHECK_INTERVAL_SECONDS)

    def _estimate_wait(self, request: QueuedRequest, now: float) -> float:
        """Returns the expected seconds until a request can start."""
        ahead = self._queue.count_ahead(request, now)
        wait = self._estimate_wait_behind(ahead, now)
        if request.is_above_share:
            return self._yielding_starts.extend_wait(wait)
        return wait

    def _estimate_wait_behind(self, ahead: int, now: float) -> float:
        """Returns the expected seconds until `ahead` requests have started."""
        limit = self._get_limit_for_queued()
        wait = self._estimator.estimate_wait(ahead, limit, now)
        if self.is_cold():
            cold_wait = self.cold_start_limit.estimate_wait(ahead, now)
            wait = max(wait, min(cold_wait, self._cold_until - now))
        return wait

    def _get_limit_for_queued(self) -> int:
        # There are no samples yet at the start of a cold instance, which would
        # use its last slots first and thereby slow down everything it runs.
        if self.is_cold() or self._contention.reduces_throughput():
            return self.regular_slots
        return self.slots

    def _is_first(self, request: QueuedRequest) -> bool:
        return self._queue.get_first(self._clock.monotonic()) is request

    def _check_deadline(
        self, request: QueuedRequest, ticket: Ticket, work: float
    ) -> float:
        """Returns the expected seconds until a request can start.

        Raises:
            RefusedError: It can't be answered before its deadline.
        """
        now = self._clock.monotonic()
        wait = 0.0
        # A slow instance still has free slots for late requests, a full one
        # has none.
        if (
            request.is_late(now)
            and not self._is_first(request)
            and self._find_block_reason(self._get_limit_for_queued())
            in (BlockReason.FULL, BlockReason.COLD)
        ):
            wait = self._estimate_wait(request, now)
        if now + wait + work > ticket.deadline:
            raise RefusedError(
                "overloaded",
                f"the request can't be answered in time: {self._describe()}",
                step="admit_late",
                retry_after=max(_MIN_RETRY_AFTER, timedelta(seconds=wait)),
                report=self.get_report(),
            )
        return wait

    def _may_start(
        self, request: QueuedRequest, ticket: Ticket, work: float
    ) -> bool:
        if not self._is_first(request):
            return False
        reason = self._find_block_reason(self._get_limit_for_queued())
        if reason is BlockReason.SLOW:
            # Waiting for the instance to speed up helps only while the latency
            # target can still be met, and only if the slowdown will end soon.
            slowdown = self._get_relative_slowdown(MAX_READING_AGE_SECONDS * 2)
            now = self._clock.monotonic()
            lasting = self._monitor.get_lasting_factor()
            return (
                now > request.latest_start
                or slowdown < SLOWDOWN_THRESHOLD * lasting
            ) and now + work * slowdown <= ticket.deadline
        return reason is None or reason is BlockReason.FAILING

    def _get_sleep_seconds(
        self, request: QueuedRequest, refused_at: float
    ) -> float:
        """Returns the seconds until a queued request checks its state again.

        It is woken earlier if it becomes the first.

        Args:
            request: The request.
            refused_at: Monotonic seconds at which it would be refused
                according to the current estimate.
        """
        now = self._clock.monotonic()
        if self._is_first(request):
            # The end of a running request wakes the first one.
            occupancy = self._find_occupancy(self._get_limit_for_queued())
            if occupancy is BlockReason.FULL:
                return max(_CHECK_INTERVAL_SECONDS, (refused_at - now) / 2)
            return _CHECK_INTERVAL_SECONDS
        if not request.is_late(now):
            return max(_CHECK_INTERVAL_SECONDS, request.latest_start - now)
        # The further away the estimated time, the more it may still change.
        return max(_LATE_CHECK_INTERVAL_SECONDS, (refused_at - now) / 2)

    def _wake_first(self) -> None:
        self._queue.wake_first(self._clock.monotonic())

    def _describe(self) -> str:
        """Describes the state that admission depends on, for messages."""
        reading = self._monitor.reading
        slowdown = reading.slowdown if reading else "unknown"
        age = self._monitor.get_age()
        return (
            f"slowdown factor {slowdown},"
            f" read {min(age, 999) * 1000:.0f} ms ago,"
            f" {self.in_flight} requests in flight,"
            f" {self.regular_slots} of {self.slots} slots regular,"
            f" {len(self._queue)} queued"
        )

    def _make_refusal(self, reason: BlockReason, wait: float) -> RefusedError:
        return RefusedError(
            f"instance_{reason.value}",
            f"the instance is {reason.value}: {self._describe()}",
            step="admit",
            may_retry=True,
            retry_after=max(_MIN_RETRY_AFTER, timedelta(seconds=wait)),
            report=self.get_report(),
            expected_wait=wait,
        )
