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
_RECHECK = timedelta(milliseconds=200)

# An instance reports within this time after the node's start, if it runs.
_DISCOVERY = timedelta(seconds=3)
_DISCOVERY_INTERVAL = timedelta(milliseconds=100)
# The incarnation of an instance that has not reported yet; a start's time in
# milliseconds is higher.
_UNREPORTED = 1

_log = get_logger("instance")


class InstanceRegistry:
    """Attaches the instance to the door and tells the peers of its state."""

    def __init__(
        self,
        address: str,
        door: InstanceDoor,
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
        self._door = door
        self._table = table
        self._network = network
        self._clock = clock
        self._dialect = dialect
        self._get_limits = get_limits
        self._newest: tuple[int, int] = (0, 0)
        self._left: set[tuple[str, int]] = set()
        self._lost = trio.Event()
        self._unserved: InstanceReport | None = None

    def take_report(self, report: InstanceReport) -> bool:
        """Takes a report of the instance.

        Args:
            report: What it says of itself.

        Returns:
            Whether the report was the newest; one that was overtaken is
            ignored.
        """
        order = (report.incarnation, report.sequence)
        if order <= self._newest:
            _log.info(
                "report_outdated",
                instance=report.instance,
                incarnation=report.incarnation,
                sequence=report.sequence,
                newest=self._newest,
            )
            return False
        self._newest = order
        self._identify(report)
        if (report.instance, report.incarnation) in self._left:
            return True
        self._use_report(report)
        return True

    async def discover(self, service: str) -> None:
        """Attaches an instance that ran before this process started.

        Until its next report it would stand idle, although its health check
        tells all that is needed to serve it.

        Args:
            service: The service of the instance on this host.
        """
        until = self._clock.monotonic() + _DISCOVERY.total_seconds()
        while self._is_unknown() and self._clock.monotonic() < until:
            limits = self._get_limits(service)
            if limits is not None:
                reading = await self._ask_health(limits)
                if reading is not None and self._is_unknown():
                    self._attach_unreported(service, limits, reading)
                    return
            await self._clock.sleep(_DISCOVERY_INTERVAL)

    def _is_unknown(self) -> bool:
        return (
            self._newest == (0, 0)
            and self._door.attached is None
            and not self._left
        )

    async def _ask_health(
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
            incarnation=_UNREPORTED,
            sequence=0,
            service=service,
            slots=max(1, reading.slots),
            leaving=False,
            cold_time=timedelta(seconds=cold),
        )
        attached = self._attach(report, limits)
        attached.admission.set_cold(cold)
        self._set_state(UpstreamState.COLD if cold > 0 else UpstreamState.WARM)

    def _identify(self, report: InstanceReport) -> None:
        """Gives an instance that was discovered the incarnation it reports."""
        attached = self._door.attached
        if attached is None or not _is_same(
            attached.summary, report._replace(incarnation=_UNREPORTED)
        ):
            return
        summary = attached.summary._replace(incarnation=report.incarnation)
        if summary.state is UpstreamState.LEAVING:
            self._left.add((report.instance, report.incarnation))
        self._door.attached = attached._replace(summary=summary)
        self._table.update_own(upstream=summary)

    def _use_report(self, report: InstanceReport) -> None:
        attached = self._door.attached
        if attached is None or not _is_same(attached.summary, report):
            limits = self._get_limits(report.service)
            if limits is None:
                _log.info(
                    "instance_waits_for_configuration",
                    service=report.service,
                    instance=report.instance,
                )
                self._unserved = report
                return
            attached = self._attach(report, limits)
        self._unserved = None
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
        attached = self._door.attached
        if attached is None or attached.summary.instance != instance:
            waiting = self._unserved
            if (
                incarnation is None
                and waiting is not None
                and waiting.instance == instance
            ):
                incarnation = waiting.incarnation
            if incarnation is not None:
                self._left.add((instance, incarnation))
            return
        current = attached.summary.incarnation
        if incarnation is not None and current not in (
            incarnation,
            _UNREPORTED,
        ):
            _log.info(
                "departure_outdated", instance=instance, incarnation=incarnation
            )
            return
        self._left.add((instance, current))
        self._set_state(UpstreamState.LEAVING)

    def note_lost(self) -> None:
        """Notes that the instance refuses connections or is another one."""
        attached = self._door.attached
        if attached is None or attached.summary.state in (
            UpstreamState.LEAVING,
            UpstreamState.DOWN,
        ):
            return
        self._set_state(UpstreamState.DOWN)
        self._lost.set()

    def apply_limits(self) -> None:
        """Takes over limits that a new configuration has changed.

        An instance whose service was not known before gets its limits now.
        """
        report, self._unserved = self._unserved, None
        if (
            report is not None
            and (report.instance, report.incarnation) not in self._left
        ):
            self._use_report(report)
        attached = self._door.attached
        if attached is None:
            return
        limits = self._get_limits(attached.summary.service)
        if limits is not None:
            attached.admission.window.limit = limits.cold_rate

    async def run(self) -> None:
        """Looks for an instance that was lost until it answers or restarts."""
        while True:
            await self._lost.wait()
            self._lost = trio.Event()
            while (attached := self._door.attached) is not None and (
                attached.summary.state is UpstreamState.DOWN
            ):
                await self._clock.sleep(_RECHECK)
                monitor = attached.monitor
                monitor.invalidate()
                await monitor.refresh(0.0)
                reading = monitor.reading
                if (
                    not monitor.refused
                    and monitor.get_age() < _RECHECK.total_seconds()
                    and reading is not None
                    and reading.instance in (None, attached.summary.instance)
                    and self._door.attached is attached
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
        self._door.attach(attached)
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
        attached = self._door.attached
        assert attached is not None
        if attached.summary.state is state:
            return
        summary = attached.summary._replace(state=state)
        self._door.attached = attached._replace(summary=summary)
        self._table.update_own(upstream=summary)
        _log.info(
            "instance_state",
            instance=summary.instance,
            incarnation=summary.incarnation,
            state=state,
        )


def _is_same(summary: UpstreamSummary, report: InstanceReport) -> bool:
    return (summary.service, summary.instance, summary.incarnation) == (
        report.service,
        report.instance,
        report.incarnation,
    )
