"""Admission to one upstream, as the sidecar sees it."""

from collections.abc import Mapping
from typing import Protocol

from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.configuration import Service, Tenant
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import UpstreamState


class Admission(Protocol):
    """Decides when a request may enter the upstream."""

    async def acquire(self, ticket: Ticket) -> Slot:
        """Waits for a slot.

        Args:
            ticket: The request that asks.

        Returns:
            The slot, which the caller must release.

        Raises:
            RefusedError: The request must not run here; it did not run.
        """
        ...

    def set_state(self, state: UpstreamState) -> None:
        """Takes over what the upstream itself announces."""
        ...

    def suspect_cold(self) -> None:
        """Starts a cold start unless there is one already."""
        ...

    def configure(
        self, service: Service, tenants: Mapping[str, Tenant]
    ) -> None:
        """Takes over changed limits and tenants' weights."""
        ...

    def get_report(self) -> LoadReport:
        """Returns the load at this moment."""
        ...

    def get_baseline(self) -> float | None:
        """Returns the warm latency in seconds, or None if it is unknown."""
        ...

    def get_evidence_age(self) -> float:
        """Returns the seconds since a request last showed anything."""
        ...
