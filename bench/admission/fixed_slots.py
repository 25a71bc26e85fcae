"""Admission by a fixed number of slots, as a baseline."""

from collections.abc import Mapping

import trio

from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import Evidence, LoadReport
from rhubarbpaddle.membership import UpstreamState


class FixedSlots:
    """Admits as many concurrent requests as the upstream has slots."""

    def __init__(self, slots: int, clock: Clock) -> None:
        self._slots = slots
        self._clock = clock
        self._semaphore = trio.Semaphore(slots)
        self._state = UpstreamState.WARM

    async def acquire(self, ticket: Ticket) -> Slot:
        """Waits for a slot until the request's deadline."""
        if self._semaphore.value == 0 and not ticket.may_queue:
            raise RefusedError(
                "no_free_slot",
                "all slots are in use",
                step="admit",
                may_retry=True,
            )
        with trio.move_on_at(ticket.deadline):
            await self._semaphore.acquire()
            return _SemaphoreSlot(self._semaphore)
        raise RefusedError(
            "queue_deadline", "no slot was free in time", step="admit"
        )

    def set_state(self, state: UpstreamState) -> None:
        """Stores the state that the upstream announces."""
        self._state = state

    def begin_cold_start(self) -> None:
        """Does nothing, because cold upstreams are not treated differently."""

    def configure(
        self, service: Service, organisations: Mapping[str, Organisation]
    ) -> None:
        """Does nothing, because organisations have no weights."""

    def get_report(self) -> LoadReport:
        """Returns the current load."""
        return LoadReport(
            in_flight=self._slots - self._semaphore.value,
            queued=self._semaphore.statistics().tasks_waiting,
            limit=self._slots,
            state=self._state,
        )

    def get_baseline(self) -> float | None:
        """Returns None, because latency is not measured."""
        return None

    def get_evidence_age(self) -> float:
        """Returns 0, because nothing is measured."""
        return 0.0


class _SemaphoreSlot:
    def __init__(self, semaphore: trio.Semaphore) -> None:
        self._semaphore = semaphore

    def release(self, evidence: Evidence) -> None:
        self._semaphore.release()
