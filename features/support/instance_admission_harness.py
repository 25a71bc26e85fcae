"""Admission control of one simulated instance, in virtual time."""

from collections.abc import Awaitable, Callable

import trio
from behave.runner import Context
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.admission.instance_admission import InstanceAdmission
from rhubarbpaddle.admission.share_change import ShareChange
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import Evidence, EvidenceKind
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.measuring.instance_reading import InstanceReading

WORK_SECONDS = 0.1


class FakeHealthChecker:
    """Returns the slowdown factor and cold start time that a test sets."""

    def __init__(self, slowdown: float, cold_seconds: float) -> None:
        self.slowdown = slowdown
        self.cold_seconds = cold_seconds
        self.checks = 0

    async def check(self) -> InstanceReading:
        self.checks += 1
        await trio.sleep(0.001)
        return InstanceReading("i", 0, 0, 6, self.slowdown, self.cold_seconds)

    async def aclose(self) -> None:
        return


class InstanceAdmissionHarness:
    """Admission control of an instance and the results of its requests.

    Attributes:
        health: The health checker, whose values may be changed.
        monitor: The monitor that uses it.
        admission: The admission control under test.
        started: The name of each started request and its start time.
        refused: Each refusal and the seconds until it.
        peak_in_flight: The highest number of concurrent requests.
        share_changes: The organisations that went above their share or
            returned to it.
    """

    def __init__(
        self, slots: int, slowdown: float, cold_rate: float, cold_seconds: float
    ) -> None:
        self.health = FakeHealthChecker(slowdown, cold_seconds)
        clock = VirtualClock()
        self.monitor = monitor = InstanceMonitor(self.health, clock)
        self.share_changes: list[ShareChange] = []
        self.admission = InstanceAdmission(
            slots, cold_rate, monitor, clock, self.share_changes.append
        )
        self.started: list[tuple[str, float]] = []
        self.refused: list[tuple[RefusedError, float]] = []
        self.peak_in_flight = 0

    async def send_request(
        self,
        name: str = "r",
        may_queue: bool = True,
        latency_target: float = 0.4,
        deadline: float = 3.0,
        priority: int = 1,
        work: float = WORK_SECONDS,
        kind: EvidenceKind = EvidenceKind.RESPONDED,
        last_slot_work: float | None = None,
        slowed_by_last_slots: bool = False,
        route: str = "r",
        organisation: str = "",
        usage_ratio: float = 0.0,
        spillover: bool = False,
    ) -> None:
        """Sends one request and records whether it started or was refused.

        Args:
            name: The name under which its start is recorded.
            may_queue: Whether it may queue.
            latency_target: Seconds to its latency target.
            deadline: Seconds to its deadline.
            priority: The priority of its route.
            work: The duration of its work in seconds.
            kind: How it ends.
            last_slot_work: The duration of its work if it starts in one of
                the last slots, or None if that makes no difference.
            slowed_by_last_slots: Whether it takes twice as long if a last
                slot is in use when it would have ended.
            route: Its route.
            organisation: Its organisation.
            usage_ratio: The usage ratio that it carries.
            spillover: Whether it left its zone.
        """
        sent_at = trio.current_time()
        ticket = Ticket(
            organisation,
            sent_at + deadline,
            may_queue,
            priority=priority,
            useful_until=sent_at + latency_target,
            route=route,
            usage_ratio=usage_ratio,
            spillover=spillover,
        )
        try:
            slot = await self.admission.acquire(ticket)
        except RefusedError as exc:
            self.refused.append((exc, trio.current_time() - sent_at))
            return
        self.started.append((name, trio.current_time()))
        self.peak_in_flight = max(self.peak_in_flight, self.admission.in_flight)
        in_last_slot = self.admission.in_flight > self.admission.regular_slots
        try:
            if in_last_slot and last_slot_work is not None:
                work = last_slot_work
            await trio.sleep(work)
            if (
                slowed_by_last_slots
                and self.admission.in_flight > self.admission.regular_slots
            ):
                await trio.sleep(work)
                work *= 2
        finally:
            slot.release(Evidence(kind, work))


def run_scenario(
    context: Context,
    scenario: Callable[
        [InstanceAdmissionHarness, trio.Nursery], Awaitable[None]
    ],
) -> None:
    async def run() -> None:
        harness = context.harness = InstanceAdmissionHarness(*context.arguments)
        async with trio.open_nursery() as nursery:
            await scenario(harness, nursery)

    trio.run(run, clock=MockClock(autojump_threshold=0))
