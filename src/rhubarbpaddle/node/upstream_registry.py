"""The upstream that has announced itself to this node."""

from datetime import timedelta

import trio

from rhubarbpaddle.admission import SlotAdmission
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration import AcceptedConfiguration, Service
from rhubarbpaddle.execution.sidecar import AttachedUpstream, Sidecar
from rhubarbpaddle.http import HttpUpstreamClient
from rhubarbpaddle.membership import (
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.network import Network
from rhubarbpaddle.node.announcement import Announcement
from rhubarbpaddle.telemetry import get_logger

_log = get_logger("upstream")


class UpstreamRegistry:
    """Attaches the upstream to the sidecar while its lease holds."""

    def __init__(
        self,
        sidecar: Sidecar,
        table: MemberTable,
        network: Network,
        clock: Clock,
        lease: timedelta,
    ) -> None:
        self._sidecar = sidecar
        self._table = table
        self._network = network
        self._clock = clock
        self._lease = lease
        self._renewed = float("-inf")
        self._service: Service | None = None

    async def announce(
        self, announcement: Announcement, accepted: AcceptedConfiguration
    ) -> bool:
        """Takes or renews an announcement.

        Args:
            announcement: What the upstream says.
            accepted: The configuration in force.

        Returns:
            False if the configuration has no such service.
        """
        service = accepted.configuration.services.get(announcement.service)
        if service is None:
            return False
        self._renewed = self._clock.monotonic()
        summary = UpstreamSummary(
            service=announcement.service,
            instance=announcement.instance,
            incarnation=announcement.incarnation,
            state=announcement.state,
            slots=service.slots,
        )
        attached = self._sidecar.upstream
        if attached is None or not _is_same(attached.summary, summary):
            await self._attach(announcement, summary, service)
        elif attached.summary.state is not summary.state:
            self._set_state(attached, summary.state)
        return True

    async def run(self) -> None:
        """Notices a lease that was not renewed."""
        while True:
            await self._clock.sleep(self._lease / 3)
            attached = self._sidecar.upstream
            if attached is None:
                continue
            age = self._clock.monotonic() - self._renewed
            if age > self._lease.total_seconds() and (
                attached.summary.state is not UpstreamState.DOWN
            ):
                _log.warn(
                    "announcement_lease_expired",
                    instance=attached.summary.instance,
                )
                self._set_state(attached, UpstreamState.DOWN)

    async def _attach(
        self,
        announcement: Announcement,
        summary: UpstreamSummary,
        service: Service,
    ) -> None:
        previous = self._sidecar.upstream
        admission = SlotAdmission.from_config(service, self._clock)
        admission.set_state(summary.state)
        client = HttpUpstreamClient(
            self._network,
            self._clock,
            announcement.address,
            service.connections,
        )
        self._sidecar.upstream = AttachedUpstream(summary, admission, client)
        self._table.update_own(upstream=summary)
        _log.info(
            "upstream_attached",
            service=summary.service,
            instance=summary.instance,
            incarnation=summary.incarnation,
        )
        if previous is not None:
            with trio.CancelScope(shield=True):
                await previous.client.aclose()

    def _set_state(
        self, attached: AttachedUpstream, state: UpstreamState
    ) -> None:
        summary = attached.summary._replace(state=state)
        attached.admission.set_state(state)
        self._sidecar.upstream = attached._replace(summary=summary)
        self._table.update_own(upstream=summary)
        _log.info("upstream_state", instance=summary.instance, state=state)


def _is_same(held: UpstreamSummary, announced: UpstreamSummary) -> bool:
    return (held.service, held.instance, held.incarnation) == (
        announced.service,
        announced.instance,
        announced.incarnation,
    )
