"""Admission by a fixed number of slots."""

from typing import Self

import trio

from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration import Service
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import UpstreamState


class SlotAdmission:
    """Admits as many requests at once as the upstream has slots."""

    def __init__(self, slots: int, clock: Clock) -> None:
        self._slots = slots
        self._clock = clock
        self._semaphore = trio.Semaphore(slots)
        self._state = UpstreamState.WARM

    @classmethod
    def from_config(cls, service: Service, clock: Clock) -> Self:
        """Makes the admission for an instance of a service."""
        return cls(service.slots, clock)

    async def acquire(self, ticket: Ticket) -> Slot:
        """Waits for a slot until the request's deadline."""
        if self._state not in (UpstreamState.COLD, UpstreamState.WARM):
            raise RefusedError(
                "upstream_leaving",
                "the upstream takes no new work",
                step="admit",
                may_retry=True,
            )
        if self._semaphore.value == 0 and not ticket.may_queue:
            raise RefusedError(
                "no_free_slot",
                "all slots of the upstream are in use",
                step="admit",
                may_retry=True,
            )
        with trio.move_on_at(ticket.deadline):
            await self._semaphore.acquire()
            return _SemaphoreSlot(self._semaphore)
        raise RefusedError(
            "queue_deadline",
            "no slot became free before the deadline",
            step="admit",
            status=504,
        )

    def set_state(self, state: UpstreamState) -> None:
        """Takes over what the upstream itself announces."""
        self._state = state

    def get_report(self) -> LoadReport:
        """Returns the load at this moment."""
        return LoadReport(
            in_flight=self._slots - self._semaphore.value,
            queued=self._semaphore.statistics().tasks_waiting,
            limit=self._slots,
            state=self._state,
        )


class _SemaphoreSlot:
    def __init__(self, semaphore: trio.Semaphore) -> None:
        self._semaphore = semaphore

    def release(self, succeeded: bool, latency: float) -> None:
        self._semaphore.release()
