"""Admission control by the slots, speed and cold start of an instance."""

import math
from datetime import timedelta

import trio

from rhubarbpaddle.admission.cold_window import ColdWindow
from rhubarbpaddle.admission.crowding import Crowding
from rhubarbpaddle.admission.failure_share import FailureShare
from rhubarbpaddle.admission.instance_slot import InstanceSlot
from rhubarbpaddle.admission.obstacle import Obstacle
from rhubarbpaddle.admission.slot_use import SlotUse
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.admission.waiting_line import WaitingLine
from rhubarbpaddle.admission.waiting_request import WaitingRequest
from rhubarbpaddle.admission.work_forecast import WorkForecast
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import Evidence, EvidenceKind, LoadReport
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.membership import UpstreamState

# Fraction of the slots that is always used. Many instances slow down when they
# are nearly full, so the remaining slots are used only while requests wait.
USED_SHARE = 0.75
# An instance counts as slow at this slowdown factor: a request that starts at
# twice its usual duration or more rarely meets its latency target.
SLOW_PACE = 2.0
# Maximum age of a reading that still represents the current slowdown factor:
# slow periods last 100 ms or more.
READING_SECONDS = 0.025
# How often the first queued request checks whether it may start.
_LOOK_SECONDS = 0.02
# Minimum interval between the checks of late requests behind the first.
_LATE_LOOK_SECONDS = 0.1
_LEAST_RETRY_AFTER = timedelta(milliseconds=100)
_FAILURES = frozenset(
    {
        EvidenceKind.FAILED,
        EvidenceKind.LOST,
        EvidenceKind.TIMED_OUT,
    }
)


class InstanceAdmission:
    """Admits requests to one instance while it can serve them in time."""

    def __init__(
        self,
        slots: int,
        cold_rate: float,
        monitor: InstanceMonitor,
        clock: Clock,
    ) -> None:
        """Creates the admission control of an idle instance.

        Args:
            slots: Requests that the instance can run concurrently.
            cold_rate: Requests per second that it can sustain while cold.
            monitor: Reads the instance's slowdown factor and cold start.
            clock: The source of time.
        """
        self.limit = max(1, int(slots * USED_SHARE))
        self.slots = max(self.limit, slots)
        self.window = ColdWindow(cold_rate)
        self.in_flight = 0
        self._cold_until = float("-inf")
        self._monitor = monitor
        self._clock = clock
        self._failures = FailureShare(clock)
        self._forecast = WorkForecast()
        self._crowding = Crowding(self.limit, self.slots)
        self._last_slot_starts = 0
        self._line = WaitingLine()

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
            len(self._line),
            self.limit,
            state,
            self._monitor.get_pace(_LOOK_SECONDS * 2),
        )

    async def acquire(self, ticket: Ticket) -> InstanceSlot:
        """Waits until the instance can accept a request.

        Args:
            ticket: The request. If it may not queue, it is refused at once
                when it can't start immediately.

        Raises:
            RefusedError: The request was refused and did not run.
        """
        await self._refresh(READING_SECONDS)
        if ticket.may_queue:
            await self._wait(ticket)
        else:
            obstacle = self._find_obstacle(self.limit)
            if obstacle is None and len(self._line):
                obstacle = Obstacle.FULL
            if obstacle is not None and not self._may_try(obstacle):
                raise self._make_refusal(obstacle, 0.0)
        return self._enter(ticket)

    def _enter(self, ticket: Ticket) -> InstanceSlot:
        self.in_flight += 1
        now = self._clock.monotonic()
        self.window.add(now)
        pace = self._monitor.get_pace(READING_SECONDS * 2)
        key = self._forecast.begin(ticket, now, max(1.0, pace))
        in_last_slot = self.in_flight > self.limit
        self._last_slot_starts += in_last_slot
        starts_before = self._last_slot_starts

        def end(evidence: Evidence) -> None:
            self.in_flight -= 1
            self._forecast.end(key)
            if evidence.kind is EvidenceKind.ANSWERED:
                self._failures.note(False)
                if evidence.latency is not None:
                    use = SlotUse.FIRST
                    if in_last_slot:
                        use = SlotUse.LAST
                    elif self._last_slot_starts > starts_before:
                        use = SlotUse.BESIDE_LAST
                    self._note_time(
                        ticket.route, evidence.latency / max(1.0, pace), use
                    )
            elif evidence.kind in _FAILURES:
                self._failures.note(True)
            if evidence.kind is EvidenceKind.LOST:
                # The instance may have restarted and be cold.
                self._monitor.invalidate()
            self._wake()

        return InstanceSlot(end)

    async def _refresh(self, max_age: float) -> None:
        await self._monitor.refresh(max_age)
        reading = self._monitor.reading
        if reading is not None and reading.cold_seconds is not None:
            left = reading.cold_seconds - self._monitor.get_age()
            self._cold_until = self._clock.monotonic() + left

    def _note_time(self, route: str, seconds: float, use: SlotUse) -> None:
        self._crowding.note(self._forecast.compare(route, seconds), use)
        self._forecast.note(route, seconds, use is SlotUse.FIRST)

    def _find_obstacle(self, limit: int) -> Obstacle | None:
        now = self._clock.monotonic()
        if self.is_cold() and not self.window.has_room(now):
            return Obstacle.COLD
        if self.in_flight >= limit:
            return Obstacle.FULL
        if self._monitor.get_pace(READING_SECONDS * 2) >= SLOW_PACE:
            return Obstacle.SLOW
        if self._failures.is_failing():
            return Obstacle.FAILING
        return None

    def _may_try(self, obstacle: Obstacle) -> bool:
        return obstacle is Obstacle.FAILING and self._failures.try_trial()

    async def _wait(self, ticket: Ticket) -> None:
        """Queues a request until the instance can accept it.

        Raises:
            RefusedError: The request can't be answered before its deadline,
                or it would miss its latency target and too many late requests
                are queued before it.
        """
        now = self._clock.monotonic()
        work = self._forecast.get_work(ticket, now)
        useful_until = min(ticket.useful_until, ticket.deadline)
        waiting = self._line.make(ticket.priority, useful_until - work, work)
        start = self._estimate_wait(waiting, now)
        if start > 0 and now + start + work > useful_until:
            waiting = waiting._replace(latest_start=-math.inf)
            start = self._estimate_wait(waiting, now)
            if (
                self._line.count_late_ahead(waiting, now) >= self.slots
                or now + start + work > ticket.deadline
            ):
                raise self._make_refusal(Obstacle.FULL, start)
        self._line.add(waiting)
        try:
            while not self._may_start(waiting, ticket, work):
                start = self._check_late(waiting, ticket, work)
                was_first = self._is_first(waiting)
                refused_at = ticket.deadline - work - start
                seconds = self._get_sleep_seconds(waiting, refused_at)
                with trio.move_on_after(seconds) as sleep:
                    await waiting.turn.park()
                if self._is_first(waiting):
                    await self._refresh(_LOOK_SECONDS)
                elif was_first or not sleep.cancelled_caught:
                    # Another request has become the first in the meantime.
                    self._wake()
        finally:
            self._line.remove(waiting)
            self._wake()

    def _estimate_wait(self, waiting: WaitingRequest, now: float) -> float:
        """Returns the expected seconds until a request can start."""
        ahead = self._line.count_ahead(waiting, now)
        limit = self._get_waiting_limit()
        return self._forecast.estimate_wait(ahead, limit, now)

    def _get_waiting_limit(self) -> int:
        return self.limit if self._crowding.is_harmful() else self.slots

    def _is_first(self, waiting: WaitingRequest) -> bool:
        return self._line.get_first(self._clock.monotonic()) is waiting

    def _check_late(
        self, waiting: WaitingRequest, ticket: Ticket, work: float
    ) -> float:
        """Returns the expected seconds until a request can start.

        Raises:
            RefusedError: It can't be answered before its deadline.
        """
        now = self._clock.monotonic()
        start = 0.0
        # A slow instance still has free slots for late requests, a full one
        # has none.
        if (
            waiting.is_late(now)
            and not self._is_first(waiting)
            and self._find_obstacle(self._get_waiting_limit())
            in (Obstacle.FULL, Obstacle.COLD)
        ):
            start = self._estimate_wait(waiting, now)
        if now + start + work > ticket.deadline:
            raise RefusedError(
                "overloaded",
                f"the request can't be answered in time: {self._describe()}",
                step="admit_late",
                retry_after=max(_LEAST_RETRY_AFTER, timedelta(seconds=start)),
                report=self.get_report(),
            )
        return start

    def _may_start(
        self, waiting: WaitingRequest, ticket: Ticket, work: float
    ) -> bool:
        if not self._is_first(waiting):
            return False
        obstacle = self._find_obstacle(self._get_waiting_limit())
        if obstacle is Obstacle.SLOW:
            # Waiting for the instance to speed up helps only while the latency
            # target can still be met.
            pace = self._monitor.get_pace(READING_SECONDS * 2)
            now = self._clock.monotonic()
            return (
                now > waiting.latest_start
                and now + work * pace <= ticket.deadline
            )
        return obstacle is None or obstacle is Obstacle.FAILING

    def _get_sleep_seconds(
        self, waiting: WaitingRequest, refused_at: float
    ) -> float:
        """Returns the seconds until a queued request checks its state again.

        It is woken earlier if it becomes the first.

        Args:
            waiting: The request.
            refused_at: Monotonic seconds at which it would be refused
                according to the current estimate.
        """
        if self._is_first(waiting):
            return _LOOK_SECONDS
        now = self._clock.monotonic()
        if not waiting.is_late(now):
            return max(_LOOK_SECONDS, waiting.latest_start - now)
        # The further away the estimated time, the more it may still change.
        return max(_LATE_LOOK_SECONDS, (refused_at - now) / 2)

    def _wake(self) -> None:
        self._line.wake_first(self._clock.monotonic())

    def _describe(self) -> str:
        """Describes the state that admission depends on, for messages."""
        reading = self._monitor.reading
        pace = reading.pace if reading else "unknown"
        age = self._monitor.get_age()
        return (
            f"slowdown factor {pace}, read {min(age, 999) * 1000:.0f} ms ago,"
            f" {self.in_flight} of {self.limit} to {self.slots} slots used,"
            f" {len(self._line)} queued"
        )

    def _make_refusal(self, obstacle: Obstacle, wait: float) -> RefusedError:
        return RefusedError(
            f"instance_{obstacle.value}",
            f"the instance is {obstacle.value}: {self._describe()}",
            step="admit",
            may_retry=True,
            retry_after=max(_LEAST_RETRY_AFTER, timedelta(seconds=wait)),
            report=self.get_report(),
        )
