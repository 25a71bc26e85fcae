"""Tracks the upstream that has announced itself to this node."""

from datetime import timedelta

import trio

from rhubarbpaddle.admission.adaptive_admission import AdaptiveAdmission
from rhubarbpaddle.admission.criticality_table import CriticalityTable
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.execution.attached_upstream import AttachedUpstream
from rhubarbpaddle.execution.sidecar import Sidecar
from rhubarbpaddle.http import HttpUpstreamClient
from rhubarbpaddle.membership import (
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.network import Network
from rhubarbpaddle.node.announcement import Announcement
from rhubarbpaddle.node.upstream_reachability import UpstreamReachability
from rhubarbpaddle.telemetry import get_logger

_MIN_SLEEP = timedelta(milliseconds=1)
# A new incarnation waits at most this long for requests sent to the previous
# one. Some of them may have reached the new process before it announced itself;
# together with new requests they could exceed what it can handle.
_HANDOVER_TIMEOUT_SECONDS = 5.0

_log = get_logger("upstream")


class UpstreamRegistry:
    """Attaches the announced upstream to the sidecar while its lease lasts.

    Attributes:
        service: The upstream's service from the configuration in force, or None
            before the first announcement.
    """

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
        self._renewed_at = float("-inf")
        self._handover_started_at: float | None = None
        self.service: Service | None = None

    async def announce(
        self, announcement: Announcement, accepted: AcceptedConfiguration
    ) -> bool:
        """Attaches the announced upstream or renews its lease.

        Args:
            announcement: The upstream's announcement.
            accepted: The configuration in force.

        Returns:
            False if the configuration has no such service.
        """
        service = accepted.configuration.services.get(announcement.service)
        if service is None:
            return False
        self._renewed_at = self._clock.monotonic()
        self.service = service
        summary = UpstreamSummary(
            service=announcement.service,
            instance=announcement.instance,
            incarnation=announcement.incarnation,
            state=announcement.state,
            slots=service.slots,
        )
        attached = self._sidecar.upstream
        if attached is None or not _is_same_instance(attached.summary, summary):
            if attached is not None and self._must_wait_for_requests(attached):
                return True
            await self._attach(announcement, summary, service, accepted)
        elif attached.summary.state is not summary.state:
            self._set_state(attached, summary.state)
        return True

    def apply_configuration(self, accepted: AcceptedConfiguration) -> None:
        """Applies the limits, organisations' weights and dependencies.

        Args:
            accepted: The new configuration in force.
        """
        configuration = accepted.configuration
        self._sidecar.criticality = CriticalityTable.from_config(configuration)
        attached = self._sidecar.upstream
        if attached is None:
            return
        service = configuration.services.get(attached.summary.service)
        if service is None:
            return
        self.service = service
        attached.admission.configure(service, configuration.organisations)
        if service.slots != attached.summary.slots:
            summary = attached.summary._replace(slots=service.slots)
            self._sidecar.upstream = attached._replace(summary=summary)
            self._table.update_own(upstream=summary)

    async def run(self) -> None:
        """Marks the upstream as down when its lease expires."""
        while True:
            lease = self._lease.total_seconds()
            remaining = self._renewed_at + lease - self._clock.monotonic()
            attached = self._sidecar.upstream
            if attached is None or (
                attached.summary.state is UpstreamState.DOWN
            ):
                await self._clock.sleep(self._lease / 3)
            elif remaining > 0:
                # Less than a microsecond would be rounded to no delay at all.
                delay = max(timedelta(seconds=remaining), _MIN_SLEEP)
                await self._clock.sleep(delay)
            else:
                _log.warn(
                    "announcement_lease_expired",
                    instance=attached.summary.instance,
                )
                self._set_state(attached, UpstreamState.DOWN)

    def _must_wait_for_requests(self, previous: AttachedUpstream) -> bool:
        """Marks the previous upstream as down; returns whether it is busy.

        The new upstream has to wait while the previous one is still running
        requests; its next announcement checks again.
        """
        now = self._clock.monotonic()
        if self._handover_started_at is None:
            self._handover_started_at = now
            self._set_state(previous, UpstreamState.DOWN)
        if now - self._handover_started_at > _HANDOVER_TIMEOUT_SECONDS:
            return False
        return previous.admission.get_report().in_flight > 0

    async def _attach(
        self,
        announcement: Announcement,
        summary: UpstreamSummary,
        service: Service,
        accepted: AcceptedConfiguration,
    ) -> None:
        self._handover_started_at = None
        previous = self._sidecar.upstream
        baseline = None
        if previous is not None and previous.summary.service == service.name:
            baseline = previous.admission.get_baseline()
        admission = AdaptiveAdmission.from_config(
            service, accepted.configuration.organisations, self._clock, baseline
        )
        admission.set_state(summary.state)
        client = HttpUpstreamClient(
            self._network,
            self._clock,
            announcement.address,
            service.connections,
        )
        reachability = UpstreamReachability(self._network, announcement.address)
        self._sidecar.attach(
            AttachedUpstream(summary, admission, client, reachability)
        )
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
        self._sidecar.upstream = attached._replace(summary=summary)
        attached.admission.set_state(state)
        self._table.update_own(upstream=summary)
        _log.info("upstream_state", instance=summary.instance, state=state)


def _is_same_instance(
    current: UpstreamSummary, announced: UpstreamSummary
) -> bool:
    return (current.service, current.instance, current.incarnation) == (
        announced.service,
        announced.instance,
        announced.incarnation,
    )
