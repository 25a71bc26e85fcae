"""The interface of admission control, as used by the sidecar."""

from collections.abc import Mapping
from typing import Protocol

from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import UpstreamState


class Admission(Protocol):
    """Decides whether and when a request may run at one upstream."""

    async def acquire(self, ticket: Ticket) -> Slot:
        """Waits for a slot.

        Args:
            ticket: The request that needs the slot.

        Returns:
            The slot, which the calling code must release.

        Raises:
            RefusedError: The request was refused and did not run.
        """
        ...

    def set_state(self, state: UpstreamState) -> None:
        """Applies the state that the upstream announces."""
        ...

    def begin_cold_start(self) -> None:
        """Begins a cold start unless one is in progress."""
        ...

    def configure(
        self, service: Service, organisations: Mapping[str, Organisation]
    ) -> None:
        """Applies changed limits and organisation weights."""
        ...

    def get_report(self) -> LoadReport:
        """Returns the current load."""
        ...

    def get_baseline(self) -> float | None:
        """Returns the warm latency in seconds, or None if it is unknown."""
        ...

    def get_evidence_age(self) -> float:
        """Returns the seconds since the last request that yielded evidence."""
        ...
