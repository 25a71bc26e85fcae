"""The instance that reports to this node."""

from collections.abc import Callable
from datetime import timedelta

import trio

from rhubarbpaddle.admission.instance_admission import InstanceAdmission
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration import ServiceLimits
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.execution.instance_door import InstanceDoor
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
from rhubarbpaddle.node.upstream_reachability import UpstreamReachability
from rhubarbpaddle.telemetry import get_logger

# How soon an instance that was lost is found again if it did not restart.
_RECHECK_INTERVAL = timedelta(milliseconds=200)

# An instance reports within this time after the node's start, if it runs.
_DISCOVERY_TIMEOUT = timedelta(seconds=3)
_DISCOVERY_INTERVAL = timedelta(milliseconds=100)
# The incarnation of an instance that has not reported yet; a start's time in
# milliseconds is higher.
_UNREPORTED_INCARNATION = 1

_log = get_logger("instance")


class InstanceRegistry:
    """Attaches the instance to the door and tells the peers of its state."""

    def __init__(
        self,
        address: str,
        instance_proxy: InstanceDoor,
        table: MemberTable,
        network: Network,
        clock: Clock,
        dialect: UpstreamDialect,
        get_limits: Callable[[str], ServiceLimits | None],
    ) -> None:
        """Makes a registry that knows no instance.

        Args:
            address: The instance's `IP:PORT`.
            door: The way to the instance.
            table: The members; this node's entry tells of the instance.
            network: Opens connections to the instance.
            clock: The source of time.
            dialect: The headers that the instance understands.
            get_limits: Returns a service's limits, or None if it is unknown.
        """
        self._address = address
        self._instance_proxy = instance_proxy
        self._table = table
        self._network = network
        self._clock = clock
        self._dialect = dialect
        self._get_limits = get_limits
        self._newest_report: tuple[int, int] = (0, 0)
        self._departed: set[tuple[str, int]] = set()
        self._marked_down = trio.Event()
        self._report_without_service: InstanceReport | None = None

    def take_report(self, report: InstanceReport) -> bool:
        """Takes a report of the instance.

        Args:
            report: What it says of itself.

        Returns:
            Whether the report was the newest; one that was overtaken is
            ignored.
        """
        order = (report.incarnation, report.sequence)
        if order <= self._newest_report:
            _log.info(
                "report_outdated",
                instance=report.instance,
                incarnation=report.incarnation,
                sequence=report.sequence,
                newest=self._newest_report,
            )
            return False
        self._newest_report = order
        self._adopt_incarnation(report)
        if (report.instance, report.incarnation) in self._departed:
            return True
        self._apply_report(report)
        return True

    async def discover(self, service: str) -> None:
        """Attaches an instance that ran before this process started.

        Until its next report it would stand idle, although its health check
        tells all that is needed to serve it.

        Args:
            service: The service of the instance on this host.
        """
        deadline = self._clock.monotonic() + _DISCOVERY_TIMEOUT.total_seconds()
        while self._has_no_instance() and self._clock.monotonic() < deadline:
            limits = self._get_limits(service)
            if limits is not None:
                reading = await self._check_health(limits)
                if reading is not None and self._has_no_instance():
                    self._attach_unreported(service, limits, reading)
                    return
            await self._clock.sleep(_DISCOVERY_INTERVAL)

    def _has_no_instance(self) -> bool:
        return (
            self._newest_report == (0, 0)
            and self._instance_proxy.attached is None
            and not self._departed
        )

    async def _check_health(
        self, limits: ServiceLimits
    ) -> InstanceReading | None:
        """Returns what a healthy instance says, or None."""
        client = self._make_health_client(limits)
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
        cold = reading.cold_seconds or 0.0
        report = InstanceReport(
            instance=reading.instance,
            incarnation=_UNREPORTED_INCARNATION,
            sequence=0,
            service=service,
            slots=max(1, reading.slots),
            leaving=False,
            cold_time=timedelta(seconds=cold),
        )
        attached = self._attach(report, limits)
        attached.admission.set_cold(cold)
        self._set_state(UpstreamState.COLD if cold > 0 else UpstreamState.WARM)

    def _adopt_incarnation(self, report: InstanceReport) -> None:
        """Gives an instance that was discovered the incarnation it reports."""
        attached = self._instance_proxy.attached
        if attached is None or not _is_same_instance(
            attached.summary, report._replace(incarnation=_UNREPORTED_INCARNATION)
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
        cold = report.cold_time.total_seconds()
        attached.admission.set_cold(cold)
        state = UpstreamState.COLD if cold > 0 else UpstreamState.WARM
        self._set_state(UpstreamState.LEAVING if report.leaving else state)

    def take_departure(
        self, instance: str, incarnation: int | None = None
    ) -> None:
        """Takes the notice of an instance that it is about to end.

        Args:
            instance: The instance's id.
            incarnation: Its incarnation, if it named one.
        """
        attached = self._instance_proxy.attached
        if attached is None or attached.summary.instance != instance:
            pending = self._report_without_service
            if (
                incarnation is None
                and pending is not None
                and pending.instance == instance
            ):
                incarnation = pending.incarnation
            if incarnation is not None:
                self._departed.add((instance, incarnation))
            return
        current = attached.summary.incarnation
        if incarnation is not None and current not in (
            incarnation,
            _UNREPORTED_INCARNATION,
        ):
            _log.info(
                "departure_outdated", instance=instance, incarnation=incarnation
            )
            return
        self._departed.add((instance, current))
        self._set_state(UpstreamState.LEAVING)

    def note_lost(self) -> None:
        """Notes that the instance refuses connections or is another one."""
        attached = self._instance_proxy.attached
        if attached is None or attached.summary.state in (
            UpstreamState.LEAVING,
            UpstreamState.DOWN,
        ):
            return
        self._set_state(UpstreamState.DOWN)
        self._marked_down.set()

    def apply_limits(self) -> None:
        """Takes over limits that a new configuration has changed.

        An instance whose service was not known before gets its limits now.
        """
        report, self._report_without_service = self._report_without_service, None
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
            attached.admission.window.limit = limits.cold_rate

    async def run(self) -> None:
        """Looks for an instance that was lost until it answers or restarts."""
        while True:
            await self._marked_down.wait()
            self._marked_down = trio.Event()
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
        monitor = InstanceMonitor(self._make_health_client(limits), self._clock)
        admission = InstanceAdmission(
            report.slots, limits.cold_rate, monitor, self._clock
        )
        client = HttpUpstreamClient(
            self._network,
            self._clock,
            self._address,
            limits.connections,
            self._dialect,
            monitor.note,
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

    def _make_health_client(self, limits: ServiceLimits) -> HttpHealthClient:
        return HttpHealthClient(
            self._network,
            self._address,
            limits.health_path,
            self._dialect.read_load,
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
