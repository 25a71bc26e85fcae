"""Starts the queued requests of an instance."""

import trio

from rhubarbpaddle.admission.block_reason import BlockReason
from rhubarbpaddle.admission.instance_capacity import InstanceCapacity
from rhubarbpaddle.admission.instance_refusals import InstanceRefusals
from rhubarbpaddle.admission.instance_speed import InstanceSpeed
from rhubarbpaddle.admission.queue_wait_estimator import QueueWaitEstimator
from rhubarbpaddle.admission.queued_request import QueuedRequest
from rhubarbpaddle.admission.request_queue import RequestQueue
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.clock import Clock

# How often the first queued request checks whether it may start.
CHECK_INTERVAL_SECONDS = 0.02
# Minimum interval between the checks of late requests behind the first.
_LATE_CHECK_INTERVAL_SECONDS = 0.1


class QueueScheduler:
    """Decides when queued requests start, check again, or are refused.

    Only the first one may start. It checks the instance at short intervals,
    and its end wakes the next one; the others check only their deadlines.

    Attributes:
        preferred_queued: Queued requests that have not left a zone with
            instances.
    """

    def __init__(
        self,
        queue: RequestQueue,
        capacity: InstanceCapacity,
        speed: InstanceSpeed,
        wait_estimator: QueueWaitEstimator,
        refusals: InstanceRefusals,
        clock: Clock,
    ) -> None:
        """Creates the scheduler of an empty queue.

        Args:
            queue: The queue.
            capacity: Decides whether the instance can accept a request.
            speed: The slowdown of the instance.
            wait_estimator: Estimates how long queued requests wait.
            refusals: Creates the refusals.
            clock: The source of time.
        """
        self.preferred_queued = 0
        self._queue = queue
        self._capacity = capacity
        self._speed = speed
        self._wait_estimator = wait_estimator
        self._refusals = refusals
        self._clock = clock

    async def wait_for_start(
        self, request: QueuedRequest, ticket: Ticket, work: float
    ) -> None:
        """Queues a request until the instance can accept it.

        Args:
            request: The request's position in the queue.
            ticket: The request.
            work: The expected duration of its work in seconds.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        self._queue.add(request)
        self.preferred_queued += not ticket.spillover
        try:
            while not self._may_start(request, ticket, work):
                self.refuse_if_too_slow(ticket, work, self._clock.monotonic())
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
                    self.wake_first()
        finally:
            self._queue.remove(request)
            self.preferred_queued -= not ticket.spillover
            self.wake_first()

    def wake_first(self) -> None:
        """Lets the first queued request check whether it may start."""
        self._queue.wake_first(self._clock.monotonic())

    def refuse_if_too_slow(
        self, ticket: Ticket, work: float, now: float
    ) -> None:
        """Refuses a request that a lasting slowdown doesn't let end in time.

        The end of a slow period would be worth waiting for.

        Args:
            ticket: The request.
            work: The expected duration of its work in seconds.
            now: Monotonic seconds.

        Raises:
            RefusedError: The request would end after its deadline.
        """
        lasting_work = self._speed.find_lasting_work(work, now)
        if lasting_work is not None and now + lasting_work > ticket.deadline:
            raise self._refusals.create(BlockReason.SLOW, lasting_work)

    def _is_first(self, request: QueuedRequest) -> bool:
        return self._queue.get_first(self._clock.monotonic()) is request

    def _may_start(
        self, request: QueuedRequest, ticket: Ticket, work: float
    ) -> bool:
        if not self._is_first(request):
            return False
        reason = self._capacity.find_block_reason(
            self._capacity.get_queue_limit()
        )
        if reason is BlockReason.SLOW:
            # Waiting for the instance to speed up helps only while the latency
            # target can still be met, and only if the slowdown will end soon.
            now = self._clock.monotonic()
            slowdown = self._speed.get_relative_slowdown(now)
            return (
                now > request.latest_start
                or not self._speed.may_recover_soon(slowdown)
            ) and now + work * slowdown <= ticket.deadline
        return reason is None or reason is BlockReason.FAILING

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
            and self._capacity.find_block_reason(
                self._capacity.get_queue_limit()
            )
            in (BlockReason.FULL, BlockReason.COLD)
        ):
            wait = self._wait_estimator.estimate(request, now)
        if now + wait + work > ticket.deadline:
            raise self._refusals.create_late(wait)
        return wait

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
            occupancy = self._capacity.find_occupancy(
                self._capacity.get_queue_limit()
            )
            if occupancy is BlockReason.FULL:
                return max(CHECK_INTERVAL_SECONDS, (refused_at - now) / 2)
            return CHECK_INTERVAL_SECONDS
        if not request.is_late(now):
            return max(CHECK_INTERVAL_SECONDS, request.latest_start - now)
        # The further away the estimated time, the more it may still change.
        return max(_LATE_CHECK_INTERVAL_SECONDS, (refused_at - now) / 2)

    async def _refresh_if_room(self) -> None:
        """Checks the instance for the first queued request.

        Without room it can't start, and checks of full instances would add up
        to 50 a second for each.
        """
        limit = self._capacity.get_queue_limit()
        if self._capacity.find_occupancy(limit) is None:
            await self._speed.refresh(CHECK_INTERVAL_SECONDS)
