"""Admission control that adapts its limit to the upstream's responses."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Self

import trio

from rhubarbpaddle.admission.fair_queue import FairQueue
from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.slot_waiter import SlotWaiter
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.admission.upstream_capacity import UpstreamCapacity
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import Evidence, EvidenceKind, LoadReport
from rhubarbpaddle.membership import UpstreamState

_QUEUE_LENGTH_PER_SLOT = 4
# Weight of the newest request in the mean time for which a slot is held.
_HOLD_TIME_WEIGHT = 0.1
_MIN_RETRY_AFTER = timedelta(milliseconds=50)


class AdaptiveAdmission:
    """Limits the concurrency of one upstream and queues the excess fairly.

    Requests in flight never exceed the slots, and no request is admitted while
    the number in flight has reached the current limit (`UpstreamCapacity`).
    """

    def __init__(
        self,
        slots: int,
        clock: Clock,
        *,
        baseline: float | None = None,
        queue_length: int | None = None,
    ) -> None:
        """Creates the admission control of a cold upstream.

        Args:
            slots: The hard limit of requests in flight.
            clock: The source of time.
            baseline: The warm latency in seconds as measured for an earlier
                incarnation, or None if it is unknown.
            queue_length: The maximum number of queued requests; by default 4
                for each slot.
        """
        self._slots = slots
        self._clock = clock
        self._queue = FairQueue()
        self._queue_length = queue_length or slots * _QUEUE_LENGTH_PER_SLOT
        self._in_flight = 0
        self._capacity = UpstreamCapacity(slots, baseline, clock)
        self._mean_hold_seconds: float | None = None
        self._last_evidence_at = float("-inf")

    @classmethod
    def from_config(
        cls,
        service: Service,
        organisations: Mapping[str, Organisation],
        clock: Clock,
        baseline: float | None = None,
    ) -> Self:
        """Creates the admission control for an instance of a service."""
        admission = cls(service.slots, clock, baseline=baseline)
        admission.configure(service, organisations)
        return admission

    async def acquire(self, ticket: Ticket) -> Slot:
        """Waits for a slot."""
        self._check_state()
        if self._in_flight < self._capacity.get_limit() and not self._queue:
            self._in_flight += 1
            return self._create_slot()
        waiter = SlotWaiter(ticket)
        self._enqueue(waiter)
        try:
            with trio.move_on_at(ticket.deadline):
                await waiter.ended.wait()
        except BaseException:
            self._cancel_waiter(waiter)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        if not waiter.granted:
            self._cancel_waiter(waiter)
            raise RefusedError(
                "queue_deadline",
                "no slot became free before the deadline",
                step="admit",
                status=504,
            )
        try:
            # The state may have changed between the grant and the moment at
            # which this task runs.
            self._check_state()
        except RefusedError:
            self._cancel_waiter(waiter)
            raise
        return self._create_slot()

    def set_state(self, state: UpstreamState) -> None:
        """Applies the state that the upstream announces.

        `cold`, and any transition from `leaving` or `down` to a state that
        accepts work, begins a cold start. `warm` does not end one.
        """
        self._capacity.set_state(state)
        if not self._capacity.is_accepting:
            for waiter in self._queue.drain():
                waiter.refuse(_make_state_refusal(state))
        self._grant_slots()

    def begin_cold_start(self) -> None:
        """Begins a cold start unless one is in progress."""
        self._capacity.begin_cold_start()

    def configure(
        self, service: Service, organisations: Mapping[str, Organisation]
    ) -> None:
        """Applies changed limits and organisation weights."""
        self._queue.weights = {
            organisation.name: organisation.weight
            for organisation in organisations.values()
        }
        if service.slots != self._slots:
            self._slots = service.slots
            self._queue_length = service.slots * _QUEUE_LENGTH_PER_SLOT
            self._capacity.set_slots(service.slots)
        self._grant_slots()

    def get_report(self) -> LoadReport:
        """Returns the current load."""
        return LoadReport(
            in_flight=self._in_flight,
            queued=len(self._queue),
            limit=self._capacity.get_limit(),
            state=self._capacity.get_state(),
        )

    def get_baseline(self) -> float | None:
        """Returns the warm latency in seconds, or None if it is unknown."""
        return self._capacity.baseline

    def get_evidence_age(self) -> float:
        """Returns the seconds since the last request that yielded evidence."""
        return self._clock.monotonic() - self._last_evidence_at

    def _check_state(self) -> None:
        if not self._capacity.is_accepting:
            raise _make_state_refusal(self._capacity.announced_state)

    def _enqueue(self, waiter: SlotWaiter) -> None:
        if not waiter.ticket.may_queue:
            raise RefusedError(
                "no_free_slot",
                "the upstream's concurrency limit is reached",
                step="admit",
                retry_after=self._get_retry_after(0),
                may_retry=True,
            )
        ahead = self._queue.count_ahead(waiter)
        wait = self._estimate_wait(ahead)
        if wait > waiter.ticket.deadline - self._clock.monotonic():
            raise RefusedError(
                "queue_too_long",
                "the expected wait for a slot exceeds the remaining time",
                step="admit",
                retry_after=self._get_retry_after(ahead),
                may_retry=True,
            )
        if len(self._queue) >= self._queue_length:
            self._shed_lowest(waiter, ahead)
        self._queue.push(waiter)
        self._grant_slots()

    def _shed_lowest(self, waiter: SlotWaiter, ahead: int) -> None:
        refusal = RefusedError(
            "queue_full",
            "the queue for a slot is full",
            step="admit",
            retry_after=self._get_retry_after(ahead),
            may_retry=True,
        )
        dropped = self._queue.choose_request_to_shed(waiter)
        if dropped is waiter:
            raise refusal
        self._queue.remove(dropped)
        dropped.refuse(refusal)

    def _estimate_wait(self, ahead: int) -> float:
        """Returns the expected wait in seconds behind `ahead` requests."""
        if self._mean_hold_seconds is None:
            return 0.0
        return (
            (ahead + 1) * self._mean_hold_seconds / self._capacity.get_limit()
        )

    def _get_retry_after(self, ahead: int) -> timedelta:
        wait = timedelta(seconds=self._estimate_wait(ahead))
        return max(_MIN_RETRY_AFTER, wait)

    def _cancel_waiter(self, waiter: SlotWaiter) -> None:
        if waiter.granted:
            self._in_flight -= 1
            self._grant_slots()
        elif waiter.refusal is None:
            self._queue.remove(waiter)

    def _grant_slots(self) -> None:
        while self._queue and self._in_flight < self._capacity.get_limit():
            self._in_flight += 1
            self._queue.pop().grant()

    def _create_slot(self) -> Slot:
        return _AdmittedSlot(self, self._clock.monotonic(), self._in_flight)

    def release(
        self, evidence: Evidence, started: float, concurrency: int
    ) -> None:
        """Frees a slot and evaluates how its request ended.

        Args:
            evidence: How the request ended, and its latency.
            started: Monotonic seconds at which the slot was granted.
            concurrency: Requests in flight at that time, including this one.
        """
        now = self._clock.monotonic()
        elapsed = now - started
        self._in_flight -= 1
        mean = (
            elapsed
            if self._mean_hold_seconds is None
            else self._mean_hold_seconds
        )
        self._mean_hold_seconds = mean + _HOLD_TIME_WEIGHT * (elapsed - mean)
        if (
            evidence.kind is EvidenceKind.TIMED_OUT
            and self._capacity.is_deadline_too_short(elapsed)
        ):
            evidence = Evidence(EvidenceKind.NONE)
        if evidence.kind is not EvidenceKind.NONE:
            self._last_evidence_at = now
            self._capacity.record(evidence, started, concurrency, now)
        self._grant_slots()


class _AdmittedSlot:
    def __init__(
        self, admission: AdaptiveAdmission, started: float, concurrency: int
    ) -> None:
        self._admission: AdaptiveAdmission | None = admission
        self._started = started
        self._concurrency = concurrency

    def release(self, evidence: Evidence) -> None:
        admission, self._admission = self._admission, None
        if admission is not None:
            admission.release(evidence, self._started, self._concurrency)


def _make_state_refusal(state: UpstreamState) -> RefusedError:
    return RefusedError(
        "upstream_leaving",
        f"the upstream accepts no new requests in state {state.value}",
        step="admit",
        may_retry=True,
    )
