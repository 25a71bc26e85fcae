"""Tracks the instance on this node's host."""

from collections.abc import Awaitable, Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.execution.instance_proxy import InstanceProxy
from rhubarbpaddle.membership import Member, MemberTable, UpstreamState
from rhubarbpaddle.node.departures import Departures
from rhubarbpaddle.node.instance_boot import InstanceBoot, compute_incarnation
from rhubarbpaddle.node.instance_discovery import InstanceDiscovery
from rhubarbpaddle.node.instance_factory import InstanceFactory
from rhubarbpaddle.node.instance_recovery import InstanceRecovery
from rhubarbpaddle.node.instance_report import InstanceReport
from rhubarbpaddle.node.published_instance import (
    UNREPORTED_INCARNATION,
    PublishedInstance,
)
from rhubarbpaddle.node.report_plausibility import find_start_problem
from rhubarbpaddle.node.report_sequence import ReportSequence
from rhubarbpaddle.telemetry import get_logger

_log = get_logger("instance")


class InstanceRegistry:
    """Decides what reports, departures and lost connections mean.

    Attributes:
        discovery: Attaches an instance that may have run before this process.
        recovery: Rechecks an instance that is down.
    """

    def __init__(
        self,
        factory: InstanceFactory,
        instance_proxy: InstanceProxy,
        table: MemberTable,
        clock: Clock,
        get_service: Callable[[], str],
        get_limits: Callable[[str], ServiceLimits | None],
        wait_for_departures: Callable[[], Awaitable[None]],
    ) -> None:
        """Creates a registry without an instance.

        Args:
            factory: Creates what is needed to use the instance.
            instance_proxy: Forwards requests to the instance.
            table: The member table; this node's entry describes the instance.
            clock: The source of time.
            get_service: Returns the service of the instance on this host.
            get_limits: Returns a service's limits, or None if it is unknown.
            wait_for_departures: Waits a short time until departures that the
                earlier process of this node has acknowledged are known.
        """
        self._clock = clock
        self._get_limits = get_limits
        self._departures = Departures()
        self._reports = ReportSequence(get_service, clock)
        self._published = PublishedInstance(
            factory, instance_proxy, table, get_service
        )
        self.discovery = InstanceDiscovery(
            factory,
            self._published,
            self._reports,
            self._departures,
            get_limits,
            wait_for_departures,
            clock,
        )
        self.recovery = InstanceRecovery(self._published, clock)
        table.add_previous_own_listener(self._handle_previous_entry)

    def handle_report(self, report: InstanceReport) -> bool:
        """Applies a report of the instance unless a newer one has arrived.

        Args:
            report: The instance's report about itself.

        Returns:
            Whether the report was the newest; an outdated one is ignored.

        Raises:
            ProtocolError: The report can't be true, or is of another instance
                than the one on this host.
        """
        if not self._reports.accept(report):
            return False
        self._published.adopt_incarnation(report)
        if report.leaving:
            self._departures.record(report.boot)
            self._apply_departing_report(report)
        elif not self._departures.has_departed(report.boot):
            self._apply_report(report)
        return True

    def handle_departure(
        self, instance: str, incarnation: int | None = None
    ) -> InstanceBoot | None:
        """Handles the announcement of an instance that it is about to stop.

        Args:
            instance: The instance's id.
            incarnation: Its incarnation, or None if it was not announced.

        Returns:
            The boot that departs, or None if another instance is in use.
            Without an announced incarnation it is the one that is known,
            otherwise any that has started until now.

        Raises:
            ProtocolError: The incarnation can't be true.
        """
        if incarnation is not None:
            problem = find_start_problem(
                incarnation, compute_incarnation(self._clock.now())
            )
            if problem is not None:
                raise ProtocolError(
                    problem, step="read_departure", peer=instance
                )
        boot = InstanceBoot(
            instance,
            self._find_incarnation(instance)
            if incarnation is None
            else incarnation,
        )
        self._departures.record(boot)
        pending = self.discovery.pending_report
        if pending is not None and self._departures.has_departed(pending.boot):
            self.discovery.pending_report = None
        attached = self._published.get()
        if attached is None:
            self._published.publish_departure(boot)
        elif attached.summary.instance == instance:
            self._published.apply_departure(attached, boot)
        else:
            return None
        return boot

    def handle_earlier_departure(self, boot: InstanceBoot) -> None:
        """Handles a departure that an earlier process has acknowledged."""
        if self._departures.has_departed(boot):
            return
        _log.info(
            "instance_departed_before",
            instance=boot.instance,
            incarnation=boot.incarnation,
        )
        try:
            self.handle_departure(boot.instance, boot.incarnation)
        except ProtocolError as exc:
            _log.warn("report_invalid", instance=boot.instance, error=exc)

    def handle_connection_loss(self) -> None:
        """Marks the instance as down.

        Called when it refuses connections or another instance responds at its
        address.
        """
        attached = self._published.get()
        if attached is None or attached.summary.state in (
            UpstreamState.LEAVING,
            UpstreamState.DOWN,
        ):
            return
        self._published.set_state(UpstreamState.DOWN)
        self.recovery.start()

    def apply_limits(self) -> None:
        """Applies the limits of a new configuration.

        An instance whose service was unknown until now is attached soon.
        """
        self.discovery.wake()
        attached = self._published.get()
        if attached is None:
            return
        limits = self._get_limits(attached.summary.service)
        if limits is not None:
            attached.admission.cold_start.rate_limit.limit = limits.cold_rate

    def _handle_previous_entry(self, entry: Member) -> None:
        """Applies what a neighbour knows of an earlier process of this node."""
        upstream = entry.upstream
        if upstream is not None and upstream.state is UpstreamState.LEAVING:
            self.handle_earlier_departure(
                InstanceBoot(upstream.instance, upstream.incarnation)
            )

    def _apply_report(self, report: InstanceReport) -> None:
        attached = self._published.find(report)
        if attached is None:
            limits = self._get_limits(report.service)
            if limits is None:
                _log.info(
                    "instance_waits_for_configuration",
                    service=report.service,
                    instance=report.instance,
                )
                self.discovery.defer(report)
                return
            if self.discovery.may_have_departed(report):
                _log.info(
                    "instance_waits_for_check",
                    instance=report.instance,
                    incarnation=report.incarnation,
                    sequence=report.sequence,
                )
                self.discovery.defer(report)
                return
            attached = self._published.attach(
                report, limits, self.discovery.process_started_at
            )
        self.discovery.pending_report = None
        self._published.apply_cold_time(
            attached, report.cold_time.total_seconds()
        )

    def _apply_departing_report(self, report: InstanceReport) -> None:
        """Applies the report of an instance that is about to stop."""
        self.discovery.pending_report = None
        attached = self._published.get()
        if (
            attached is not None
            and attached.summary.instance == report.instance
        ):
            self._published.apply_departure(attached, report.boot)
            return
        # Another instance that is attached has ended, as this one has its
        # address.
        self.handle_connection_loss()
        self._published.publish_departure(report.boot, report.slots)

    def _find_incarnation(self, instance: str) -> int:
        """Returns the incarnation of an instance whose departure lacks it."""
        attached = self._published.get()
        if (
            attached is not None
            and attached.summary.instance == instance
            and attached.summary.incarnation != UNREPORTED_INCARNATION
        ):
            return attached.summary.incarnation
        pending = self.discovery.pending_report
        if pending is not None and pending.instance == instance:
            return pending.incarnation
        return compute_incarnation(self._clock.now())
