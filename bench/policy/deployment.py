"""A deployment of real admission and routing with simulated upstreams."""

import random
from collections.abc import Callable

import trio

from bench.admission.fixed_slots import FixedSlots
from bench.policy.deployment_size import DeploymentSize
from bench.policy.fake_upstream import FakeUpstream
from bench.policy.host import Host
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.admission.adaptive_admission import AdaptiveAdmission
from rhubarbpaddle.admission.admission import Admission
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.availability_zone import AvailabilityZone
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.execution.sidecar import AttachedUpstream, Sidecar
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)

SERVICE = "lanes"
# Member changes and publications reach each node after at most this time.
_MAX_MEMBER_DELAY_SECONDS = 0.02
_MAX_PUBLICATION_DELAY_SECONDS = 0.2
# How long a restarted upstream announces that it is cold after it is attached.
# Its announcements lag behind its real state.
_COLD_SECONDS = 1.0
# A restarted upstream announces itself again at this interval while requests to
# its previous incarnation are in flight.
_ANNOUNCEMENT_INTERVAL_SECONDS = 0.1


class Deployment:
    """The hosts of one run, with the operations and faults that change them.

    Attributes:
        hosts: All hosts, by name.
        membership_frozen: Whether member changes are no longer propagated.
    """

    def __init__(
        self,
        size: DeploymentSize,
        nursery: trio.Nursery,
        rng: random.Random,
        adaptive: bool,
    ) -> None:
        """Starts all hosts.

        Args:
            size: The size of the deployment.
            nursery: Runs delayed changes.
            rng: The random number generator for delays.
            adaptive: Whether to use `AdaptiveAdmission`; otherwise
                `FixedSlots`.
        """
        self.size = size
        self.clock = VirtualClock()
        self.membership_frozen = False
        self._nursery = nursery
        self._rng = rng
        self._adaptive = adaptive
        accepted = self._make_configuration(withdrawn_zone="")
        self.service = accepted.configuration.services[SERVICE]
        self.hosts: dict[str, Host] = {}
        for index in range(size.nodes):
            self._add_host(index, accepted)
        members = [host.table.own for host in self.hosts.values()]
        for host in self.hosts.values():
            for member in members:
                host.table.merge(member)

    def get_upstream_hosts(self) -> list[Host]:
        """Returns the hosts that have an upstream."""
        return [
            host for host in self.hosts.values() if host.upstream is not None
        ]

    def restart(self, host: Host) -> None:
        """Restarts the upstream of a host, so that it is cold."""
        assert host.upstream is not None
        host.incarnation += 1
        host.upstream.restart()
        self._attach_new_incarnation(host)

    def publish_withdrawal(self, zone: str) -> None:
        """Takes a zone out of service, or none if the name is empty."""
        accepted = self._make_configuration(zone)
        for host in self.hosts.values():
            delay = self._rng.uniform(0, _MAX_PUBLICATION_DELAY_SECONDS)
            self._run_later(
                delay, lambda host=host: self._accept(host, accepted)
            )

    def _add_host(self, index: int, accepted: AcceptedConfiguration) -> None:
        name = f"n{index}"
        zone = self.size.zones[index % len(self.size.zones)]
        own = Member(
            name, 1, 1, MemberStatus.ALIVE, name, zone, f"{name}:2", "", None
        )
        table = MemberTable(own)
        host = Host(name, zone, table, Sidecar(self.clock), accepted)
        self.hosts[name] = host
        if index < self.size.instances:
            host.upstream = FakeUpstream(self.size.slots)
            self._announce(host, UpstreamState.WARM)

    def _attach_new_incarnation(self, host: Host) -> None:
        """Attaches the new incarnation as `UpstreamRegistry` does."""
        attached = host.sidecar.upstream
        assert attached is not None
        if self._adaptive and attached.admission.get_report().in_flight > 0:
            self._set_state(host, attached, UpstreamState.DOWN)
            self._run_later(
                _ANNOUNCEMENT_INTERVAL_SECONDS,
                lambda: self._attach_new_incarnation(host),
            )
            return
        self._announce(host, UpstreamState.COLD)
        self._run_later(
            _COLD_SECONDS, lambda: self._announce(host, UpstreamState.WARM)
        )

    def _announce(self, host: Host, state: UpstreamState) -> None:
        assert host.upstream is not None
        summary = UpstreamSummary(
            SERVICE, host.name, host.incarnation, state, self.size.slots
        )
        attached = host.sidecar.upstream
        if attached is None or attached.summary.incarnation != host.incarnation:
            admission = self._make_admission(attached)
            attached = AttachedUpstream(
                summary, admission, host.upstream, host.upstream
            )
            host.sidecar.attach(attached)
        self._set_state(host, attached, state)

    def _make_admission(self, previous: AttachedUpstream | None) -> Admission:
        if not self._adaptive:
            return FixedSlots(self.size.slots, self.clock)
        # Starts with a warm latency, as after an incarnation before the run.
        baseline: float | None = self.size.mean_work_seconds
        if previous is not None:
            baseline = previous.admission.get_baseline()
        return AdaptiveAdmission.from_config(
            self.service, {}, self.clock, baseline
        )

    def _set_state(
        self, host: Host, attached: AttachedUpstream, state: UpstreamState
    ) -> None:
        summary = attached.summary._replace(state=state)
        attached.admission.set_state(state)
        host.sidecar.upstream = attached._replace(summary=summary)
        member = host.table.update_own(upstream=summary)
        if not self.membership_frozen:
            for receiver in self.hosts.values():
                delay = self._rng.uniform(0, _MAX_MEMBER_DELAY_SECONDS)
                self._run_later(
                    delay, lambda table=receiver.table: table.merge(member)
                )

    def _accept(self, host: Host, accepted: AcceptedConfiguration) -> None:
        host.accepted = accepted
        in_service = accepted.configuration.is_in_service(host.zone)
        host.sidecar.in_service = in_service

    def _make_configuration(self, withdrawn_zone: str) -> AcceptedConfiguration:
        zones = {
            zone: AvailabilityZone(zone, "default", zone != withdrawn_zone)
            for zone in self.size.zones
        }
        services = {SERVICE: Service(SERVICE, slots=self.size.slots)}
        cfg = Configuration(services, zones, {})
        return AcceptedConfiguration(1, "", "", 0, cfg)

    def _run_later(self, delay: float, function: Callable[[], object]) -> None:
        async def run() -> None:
            await trio.sleep(delay)
            function()

        self._nursery.start_soon(run)
