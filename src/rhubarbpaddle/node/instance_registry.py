"""Tracks the instance on this node's host."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from rhubarbpaddle.admission.instance_admission import InstanceAdmission
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.execution.instance_proxy import InstanceProxy
from rhubarbpaddle.http.health_client import HttpHealthClient
from rhubarbpaddle.http.upstream_client import HttpUpstreamClient
from rhubarbpaddle.http.upstream_dialect import UpstreamDialect
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.membership import (
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.network import Network
from rhubarbpaddle.node.instance_report import InstanceReport
from rhubarbpaddle.node.report_plausibility import find_report_problem
from rhubarbpaddle.node.upstream_reachability import UpstreamReachability
from rhubarbpaddle.telemetry import get_logger

# How often an instance that is down, but did not restart, is checked again.
_RECHECK_INTERVAL = timedelta(milliseconds=200)

# A running instance sends its first report to a new node within this time.
_DISCOVERY_TIMEOUT = timedelta(seconds=3)
_DISCOVERY_INTERVAL = timedelta(milliseconds=100)
# Represents the incarnation of an instance that has not reported yet. Real
# incarnations are start times in milliseconds and therefore higher.
_UNREPORTED_INCARNATION = 1

_log = get_logger("instance")


class InstanceRegistry:
    """Attaches the instance to its proxy and publishes its state to peers.

    Attributes:
        process_started_at: Monotonic seconds; an earlier process may have sent
            requests to the instance before.
    """

    def __init__(
        self,
        address: str,
        instance_proxy: InstanceProxy,
        table: MemberTable,
        network: Network,
        clock: Clock,
        dialect: UpstreamDialect,
        get_service: Callable[[], str],
        get_limits: Callable[[str], ServiceLimits | None],
        wait_for_neighbours: Callable[[], Awaitable[None]],
    ) -> None:
        """Creates a registry without an instance.

        Args:
            address: The instance's `IP:PORT`.
            instance_proxy: Forwards requests to the instance.
            table: The member table; this node's entry describes the instance.
            network: Opens connections to the instance.
            clock: The source of time.
            dialect: Maps requests and responses to the instance's headers.
            get_service: Returns the service of the instance on this host.
            get_limits: Returns a service's limits, or None if it is unknown.
            wait_for_neighbours: Waits a short time for what neighbours know of
                the earlier process of this node.
        """
        self._address = address
        self._instance_proxy = instance_proxy
        self._table = table
        self._network = network
        self._clock = clock
        self._dialect = dialect
        self._get_service = get_service
        self._get_limits = get_limits
        self._wait_for_neighbours = wait_for_neighbours
        self.process_started_at = float("-inf")
        self._newest_report_key: tuple[int, int] = (0, 0)
        self._newest_report_at = 0.0
        self._departed: set[tuple[str, int]] = set()
        self._went_down = trio.Event()
        self._limits_changed = trio.Event()
        self._report_without_service: InstanceReport | None = None

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
        now = self._clock.monotonic()
        problem = find_report_problem(
            report,
            self._get_service(),
            self._newest_report_key,
            int((now - self._newest_report_at) * 1000),
            int(self._clock.now().timestamp() * 1000),
        )
        if problem is not None:
            raise ProtocolError(
                problem, step="read_report", peer=report.instance
            )
        report_key = (report.incarnation, report.sequence)
        if report_key <= self._newest_report_key:
            _log.info(
                "report_outdated",
                instance=report.instance,
                incarnation=report.incarnation,
                sequence=report.sequence,
                newest=self._newest_report_key,
            )
            return False
        self._newest_report_key = report_key
        self._newest_report_at = now
        self._adopt_incarnation(report)
        if (report.instance, report.incarnation) in self._departed:
            return True
        self._apply_report(report)
        return True

    async def discover(self, service: str) -> None:
        """Attaches an instance that was running before this process started.

        Otherwise it would be idle until its next report, although its health
        check provides all the information that is needed to send it requests.

        Args:
            service: The service of the instance on this host.
        """
        deadline = self._clock.monotonic() + _DISCOVERY_TIMEOUT.total_seconds()
        contacted = False
        while self._has_no_instance() and self._clock.monotonic() < deadline:
            limits_changed = self._limits_changed
            limits = self._get_limits(service)
            if limits is not None:
                reading = await self._check_health(limits)
                if (
                    reading is not None
                    and not contacted
                    and not self._has_started_since(limits, reading)
                ):
                    # It may have departed before this process started.
                    await self._wait_for_neighbours()
                    contacted = True
                    continue
                if (
                    reading is not None
                    and self._has_no_instance()
                    and not self._has_departed(reading.instance)
                ):
                    self._attach_unreported(service, limits, reading)
                    return
            # The first configuration usually arrives just after the start.
            with trio.move_on_after(_DISCOVERY_INTERVAL.total_seconds()):
                await limits_changed.wait()

    def _has_started_since(
        self, limits: ServiceLimits, reading: InstanceReading
    ) -> bool:
        """Returns whether an instance is younger than this process."""
        if not reading.cold_seconds:
            return False
        age = limits.cold_start.total_seconds() - reading.cold_seconds
        return self._clock.monotonic() - age >= self.process_started_at

    def _has_departed(self, instance: str | None) -> bool:
        """Returns whether a neighbour knows that an instance has departed."""
        previous = self._table.previous_own
        if previous is None or previous.upstream is None:
            return False
        summary = previous.upstream
        if (
            summary.instance != instance
            or summary.state is not UpstreamState.LEAVING
        ):
            return False
        self._departed.add((summary.instance, summary.incarnation))
        _log.info("instance_departed_before", instance=instance)
        return True

    def _has_no_instance(self) -> bool:
        return (
            self._newest_report_key == (0, 0)
            and self._instance_proxy.attached is None
            and not self._departed
        )

    async def _check_health(
        self, limits: ServiceLimits
    ) -> InstanceReading | None:
        """Returns the reading of a health check, or None if it is unhealthy."""
        client = self._create_health_client(limits)
        monitor = InstanceMonitor(client, self._clock)
        try:
            await monitor.refresh(0.0)
        finally:
            await client.aclose()
        reading = monitor.reading
        if reading is None or reading.instance is None or not reading.healthy:
            return None
        return reading

    def _attach_unreported(
        self, service: str, limits: ServiceLimits, reading: InstanceReading
    ) -> None:
        assert reading.instance is not None
        cold_seconds = reading.cold_seconds or 0.0
        report = InstanceReport(
            instance=reading.instance,
            incarnation=_UNREPORTED_INCARNATION,
            sequence=0,
            service=service,
            slots=max(1, reading.slots),
            leaving=False,
            cold_time=timedelta(seconds=cold_seconds),
        )
        attached = self._attach(report, limits)
        attached.admission.set_cold(cold_seconds)
        self._set_state(
            UpstreamState.COLD if cold_seconds > 0 else UpstreamState.WARM
        )

    def _adopt_incarnation(self, report: InstanceReport) -> None:
        """Sets the incarnation of a discovered instance at its first report."""
        attached = self._instance_proxy.attached
        if attached is None or not _is_same_instance(
            attached.summary,
            report._replace(incarnation=_UNREPORTED_INCARNATION),
        ):
            return
        summary = attached.summary._replace(incarnation=report.incarnation)
        if summary.state is UpstreamState.LEAVING:
            self._departed.add((report.instance, report.incarnation))
        self._instance_proxy.attached = attached._replace(summary=summary)
        self._table.update_own(upstream=summary)

    def _apply_report(self, report: InstanceReport) -> None:
        attached = self._instance_proxy.attached
        if attached is None or not _is_same_instance(attached.summary, report):
            limits = self._get_limits(report.service)
            if limits is None:
                _log.info(
                    "instance_waits_for_configuration",
                    service=report.service,
                    instance=report.instance,
                )
                self._report_without_service = report
                return
            attached = self._attach(report, limits)
        self._report_without_service = None
        cold_seconds = report.cold_time.total_seconds()
        attached.admission.set_cold(cold_seconds)
        state = UpstreamState.COLD if cold_seconds > 0 else UpstreamState.WARM
        self._set_state(UpstreamState.LEAVING if report.leaving else state)

    def handle_departure(
        self, instance: str, incarnation: int | None = None
    ) -> None:
        """Handles the announcement of an instance that it is about to stop.

        Args:
            instance: The instance's id.
            incarnation: Its incarnation, or None if it was not announced.
        """
        attached = self._instance_proxy.attached
        if attached is None or attached.summary.instance != instance:
            pending_report = self._report_without_service
            if (
                incarnation is None
                and pending_report is not None
                and pending_report.instance == instance
            ):
                incarnation = pending_report.incarnation
            if incarnation is not None:
                self._departed.add((instance, incarnation))
            return
        current_incarnation = attached.summary.incarnation
        if incarnation is not None and current_incarnation not in (
            incarnation,
            _UNREPORTED_INCARNATION,
        ):
            _log.info(
                "departure_outdated", instance=instance, incarnation=incarnation
            )
            return
        self._departed.add((instance, current_incarnation))
        self._set_state(UpstreamState.LEAVING)

    def handle_connection_loss(self) -> None:
        """Marks the instance as down.

        Called when it refuses connections or another instance responds at its
        address.
        """
        attached = self._instance_proxy.attached
        if attached is None or attached.summary.state in (
            UpstreamState.LEAVING,
            UpstreamState.DOWN,
        ):
            return
        self._set_state(UpstreamState.DOWN)
        self._went_down.set()

    def apply_limits(self) -> None:
        """Applies the limits of a new configuration.

        An instance whose service was unknown until now is attached.
        """
        self._limits_changed.set()
        self._limits_changed = trio.Event()
        report, self._report_without_service = (
            self._report_without_service,
            None,
        )
        if (
            report is not None
            and (report.instance, report.incarnation) not in self._departed
        ):
            self._apply_report(report)
        attached = self._instance_proxy.attached
        if attached is None:
            return
        limits = self._get_limits(attached.summary.service)
        if limits is not None:
            attached.admission.cold_start_limit.limit = limits.cold_rate

    async def run(self) -> None:
        """Rechecks an instance that is down until it responds or restarts."""
        while True:
            await self._went_down.wait()
            self._went_down = trio.Event()
            while (attached := self._instance_proxy.attached) is not None and (
                attached.summary.state is UpstreamState.DOWN
            ):
                await self._clock.sleep(_RECHECK_INTERVAL)
                monitor = attached.monitor
                monitor.invalidate()
                await monitor.refresh(0.0)
                reading = monitor.reading
                if (
                    not monitor.refused
                    and monitor.get_age() < _RECHECK_INTERVAL.total_seconds()
                    and reading is not None
                    and reading.instance in (None, attached.summary.instance)
                    and self._instance_proxy.attached is attached
                ):
                    attached.admission.set_cold(reading.cold_seconds or 0.0)
                    self._set_state(UpstreamState.WARM)

    def _attach(
        self, report: InstanceReport, limits: ServiceLimits
    ) -> AttachedInstance:
        monitor = InstanceMonitor(
            self._create_health_client(limits), self._clock
        )
        admission = InstanceAdmission(
            report.slots, limits.cold_rate, monitor, self._clock
        )
        self._count_earlier_requests(report, limits, admission)
        client = HttpUpstreamClient(
            self._network,
            self._clock,
            self._address,
            limits.connections,
            self._dialect,
            monitor.record_reading,
        )
        attached = AttachedInstance(
            UpstreamSummary(
                service=report.service,
                instance=report.instance,
                incarnation=report.incarnation,
                state=UpstreamState.DOWN,
                slots=report.slots,
            ),
            admission,
            monitor,
            client,
            UpstreamReachability(self._network, self._address),
        )
        self._instance_proxy.attach(attached)
        _log.info(
            "instance_attached",
            service=report.service,
            instance=report.instance,
            incarnation=report.incarnation,
            slots=report.slots,
            cold_seconds=report.cold_time.total_seconds(),
        )
        return attached

    def _count_earlier_requests(
        self,
        report: InstanceReport,
        limits: ServiceLimits,
        admission: InstanceAdmission,
    ) -> None:
        """Counts what an earlier process may have sent to a cold instance."""
        remaining = report.cold_time.total_seconds()
        cold_since = self._clock.monotonic() - (
            limits.cold_start.total_seconds() - remaining
        )
        if remaining > 0 and cold_since < self.process_started_at:
            admission.cold_start_limit.assume_used_until(
                self.process_started_at
            )

    def _create_health_client(self, limits: ServiceLimits) -> HttpHealthClient:
        return HttpHealthClient(
            self._network,
            self._address,
            limits.health_path,
            self._dialect.parse_load,
        )

    def _set_state(self, state: UpstreamState) -> None:
        attached = self._instance_proxy.attached
        assert attached is not None
        if attached.summary.state is state:
            return
        summary = attached.summary._replace(state=state)
        self._instance_proxy.attached = attached._replace(summary=summary)
        self._table.update_own(upstream=summary)
        _log.info(
            "instance_state",
            instance=summary.instance,
            incarnation=summary.incarnation,
            state=state,
        )


def _is_same_instance(summary: UpstreamSummary, report: InstanceReport) -> bool:
    return (summary.service, summary.instance, summary.incarnation) == (
        report.service,
        report.instance,
        report.incarnation,
    )
