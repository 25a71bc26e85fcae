"""One admission with a scripted instance, in virtual time."""

from collections.abc import Awaitable, Callable

import trio
from behave.runner import Context
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.admission import Ticket
from rhubarbpaddle.admission.instance_admission import InstanceAdmission
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import Evidence, EvidenceKind
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.measuring.instance_reading import InstanceReading

WORK_SECONDS = 0.1


class ScriptedHealth:
    """Answers checks with a pace and a cold time that tests set."""

    def __init__(self, pace: float, cold_seconds: float) -> None:
        self.pace = pace
        self.cold_seconds = cold_seconds

    async def check(self) -> InstanceReading:
        await trio.sleep(0.001)
        return InstanceReading("i", 0, 0, 6, self.pace, self.cold_seconds)

    async def aclose(self) -> None:
        return


class AdmissionBench:
    """One admission and what became of its requests."""

    def __init__(
        self, slots: int, pace: float, rate: float, cold: float
    ) -> None:
        self.health = ScriptedHealth(pace, cold)
        clock = VirtualClock()
        monitor = InstanceMonitor(self.health, clock)
        self.admission = InstanceAdmission(slots, rate, monitor, clock)
        self.started: list[tuple[str, float]] = []
        self.refused: list[tuple[RefusedError, float]] = []
        self.most = 0

    async def ask(
        self,
        name: str = "r",
        may_queue: bool = True,
        useful: float = 0.4,
        deadline: float = 3.0,
        priority: int = 1,
        work: float = WORK_SECONDS,
        kind: EvidenceKind = EvidenceKind.ANSWERED,
        crowded_work: float | None = None,
        slows_all: bool = False,
        route: str = "r",
    ) -> None:
        """Runs one request and notes what became of it."""
        asked = trio.current_time()
        ticket = Ticket(
            "",
            asked + deadline,
            may_queue,
            priority=priority,
            useful_until=asked + useful,
            route=route,
        )
        try:
            slot = await self.admission.acquire(ticket)
        except RefusedError as exc:
            self.refused.append((exc, trio.current_time() - asked))
            return
        self.started.append((name, trio.current_time()))
        self.most = max(self.most, self.admission.in_flight)
        is_crowded = self.admission.in_flight > self.admission.regular_slots
        try:
            if is_crowded and crowded_work is not None:
                work = crowded_work
            await trio.sleep(work)
            if (
                slows_all
                and self.admission.in_flight > self.admission.regular_slots
            ):
                await trio.sleep(work)
                work *= 2
        finally:
            slot.release(Evidence(kind, work))


def run_admission(
    context: Context,
    script: Callable[[AdmissionBench, trio.Nursery], Awaitable[None]],
) -> None:
    async def run() -> None:
        bench = context.bench = AdmissionBench(*context.arguments)
        async with trio.open_nursery() as nursery:
            await script(bench, nursery)

    trio.run(run, clock=MockClock(autojump_threshold=0))
