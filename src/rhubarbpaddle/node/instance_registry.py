"""Tracks the instance on this node's host."""

import math
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.execution.instance_proxy import InstanceProxy
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.membership import (
    Member,
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.node.departures import Departures
from rhubarbpaddle.node.instance_boot import InstanceBoot
from rhubarbpaddle.node.instance_factory import InstanceFactory
from rhubarbpaddle.node.instance_report import InstanceReport
from rhubarbpaddle.node.report_plausibility import (
    find_report_problem,
    find_start_problem,
)
from rhubarbpaddle.rollout.instance_version import UNKNOWN_VERSION
from rhubarbpaddle.telemetry import get_logger

# How often an instance that is down, but did not restart, is checked again.
_RECHECK_INTERVAL = timedelta(milliseconds=200)

# A running instance sends its first report to a new node within this time.
_DISCOVERY_SECONDS = 3.0
_DISCOVERY_INTERVAL = timedelta(milliseconds=100)
# The platform delivers some reports seconds late.
_MAX_REPORT_DELAY_SECONDS = 5.0
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
        self._factory = factory
        self._instance_proxy = instance_proxy
        self._table = table
        self._clock = clock
        self._get_service = get_service
        self._get_limits = get_limits
        self._wait_for_departures = wait_for_departures
        self.process_started_at = float("-inf")
        self._newest_report_key: tuple[int, int] = (0, 0)
        self._newest_report_at = 0.0
        self._departures = Departures()
        self._waited_for_departures = False
        self._went_down = trio.Event()
        self._discovery_wake = trio.Event()
        # The newest report if its instance could not be attached yet.
        self._pending_report: InstanceReport | None = None
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
        now = self._clock.monotonic()
        problem = find_report_problem(
            report,
            self._get_service(),
            self._newest_report_key,
            int((now - self._newest_report_at) * 1000),
            self._get_time_ms(),
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
            problem = find_start_problem(incarnation, self._get_time_ms())
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
        pending = self._pending_report
        if pending is not None and self._departures.has_departed(pending.boot):
            self._pending_report = None
        attached = self._instance_proxy.attached
        if attached is None:
            self._publish_departure(boot)
        elif attached.summary.instance == instance:
            self._apply_departure(attached, boot)
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

        An instance whose service was unknown until now is attached soon.
        """
        self._wake_discovery()
        attached = self._instance_proxy.attached
        if attached is None:
            return
        limits = self._get_limits(attached.summary.service)
        if limits is not None:
            attached.admission.cold_start.rate_limit.limit = limits.cold_rate

    async def discover(self, service: str) -> None:
        """Attaches an instance that may have run before this process.

        Without a report it would be idle until its next one, although its
        health check provides all the information that is needed. A report may
        be older than a departure that an earlier process of this node has
        acknowledged, so that it needs the health check as well.

        Args:
            service: The service of the instance on this host.
        """
        while True:
            wake = self._discovery_wake
            interval = math.inf
            if self._must_discover():
                await self._try_to_attach(service)
                interval = _DISCOVERY_INTERVAL.total_seconds()
            with trio.move_on_after(interval):
                await wake.wait()

    def _must_discover(self) -> bool:
        now = self._clock.monotonic()
        if (
            self._pending_report is not None
            and now - self._newest_report_at > _MAX_REPORT_DELAY_SECONDS
        ):
            self._pending_report = None
        return self._pending_report is not None or (
            self._instance_proxy.attached is None
            and now - self.process_started_at < _DISCOVERY_SECONDS
        )

    async def _try_to_attach(self, service: str) -> None:
        """Attaches the instance if its health check succeeds."""
        limits = self._get_limits(service)
        if limits is None:
            return
        reading = await self._factory.check_health(limits)
        if reading is None:
            return
        if not self._waited_for_departures and not self._has_started_since(
            limits, reading
        ):
            await self._wait_for_departures()
            self._waited_for_departures = True
            reading = await self._factory.check_health(limits)
            if reading is None:
                return
        report = self._pending_report
        if report is not None and reading.instance == report.instance:
            self._pending_report = None
            attached = self._attach(report, limits)
            self._apply_cold_time(attached, report.cold_time.total_seconds())
        elif (
            self._instance_proxy.attached is None
            and reading.instance is not None
            and reading.instance not in self._departures
        ):
            self._attach_unreported(service, limits, reading)

    def _has_started_since(
        self, limits: ServiceLimits, reading: InstanceReading
    ) -> bool:
        """Returns whether an instance is younger than this process."""
        if not reading.cold_seconds:
            return False
        age = limits.cold_start.total_seconds() - reading.cold_seconds
        return self._clock.monotonic() - age >= self.process_started_at

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
            version=UNKNOWN_VERSION,
        )
        attached = self._attach(report, limits)
        self._apply_cold_time(attached, cold_seconds)

    def _handle_previous_entry(self, entry: Member) -> None:
        """Applies what a neighbour knows of an earlier process of this node."""
        upstream = entry.upstream
        if upstream is not None and upstream.state is UpstreamState.LEAVING:
            self.handle_earlier_departure(
                InstanceBoot(upstream.instance, upstream.incarnation)
            )

    def _adopt_incarnation(self, report: InstanceReport) -> None:
        """Sets the incarnation of a discovered instance at its first report."""
        attached = self._instance_proxy.attached
        if attached is None or not _is_same_instance(
            attached.summary,
            report._replace(incarnation=_UNREPORTED_INCARNATION),
        ):
            return
        summary = attached.summary._replace(
            incarnation=report.incarnation, version=report.version
        )
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
                self._defer(report)
                return
            if self._may_have_departed(report):
                _log.info(
                    "instance_waits_for_check",
                    instance=report.instance,
                    incarnation=report.incarnation,
                    sequence=report.sequence,
                )
                self._defer(report)
                return
            attached = self._attach(report, limits)
        self._pending_report = None
        self._apply_cold_time(attached, report.cold_time.total_seconds())

    def _defer(self, report: InstanceReport) -> None:
        """Keeps a report until `discover` can attach its instance."""
        self._pending_report = report
        self._wake_discovery()

    def _may_have_departed(self, report: InstanceReport) -> bool:
        """Returns whether an earlier process may have acknowledged a departure.

        Its acknowledgement may be more recent than a report that arrives late.
        A boot that followed one which this process has used can't have departed
        before.
        """
        attached = self._instance_proxy.attached
        if attached is not None and (
            _UNREPORTED_INCARNATION
            < attached.summary.incarnation
            < report.incarnation
        ):
            return False
        age = self._clock.monotonic() - self.process_started_at
        return age < _MAX_REPORT_DELAY_SECONDS

    def _apply_departing_report(self, report: InstanceReport) -> None:
        """Applies the report of an instance that is about to stop."""
        self._pending_report = None
        attached = self._instance_proxy.attached
        if (
            attached is not None
            and attached.summary.instance == report.instance
        ):
            self._apply_departure(attached, report.boot)
            return
        # Another instance that is attached has ended, as this one has its
        # address.
        self.handle_connection_loss()
        self._publish_departure(report.boot, report.slots)

    def _apply_departure(
        self, attached: AttachedInstance, boot: InstanceBoot
    ) -> None:
        summary = attached.summary
        if summary.incarnation > boot.incarnation:
            _log.info(
                "departure_outdated",
                instance=boot.instance,
                incarnation=boot.incarnation,
            )
            return
        # The next process of this node learns from this entry which boot has
        # departed.
        departed = summary._replace(
            incarnation=boot.incarnation, state=UpstreamState.LEAVING
        )
        if departed != summary:
            self._update_summary(attached, departed)

    def _publish_departure(self, boot: InstanceBoot, slots: int = 1) -> None:
        """Publishes the departure of an instance that is not attached."""
        self._table.update_own(
            upstream=UpstreamSummary(
                service=self._get_service(),
                instance=boot.instance,
                incarnation=boot.incarnation,
                state=UpstreamState.LEAVING,
                slots=slots,
            )
        )

    def _find_incarnation(self, instance: str) -> int:
        """Returns the incarnation of an instance whose departure lacks it."""
        attached = self._instance_proxy.attached
        if (
            attached is not None
            and attached.summary.instance == instance
            and attached.summary.incarnation != _UNREPORTED_INCARNATION
        ):
            return attached.summary.incarnation
        pending = self._pending_report
        if pending is not None and pending.instance == instance:
            return pending.incarnation
        return self._get_time_ms()

    def _get_time_ms(self) -> int:
        """Returns the milliseconds since the epoch, as in incarnations."""
        return int(self._clock.now().timestamp() * 1000)

    def _wake_discovery(self) -> None:
        self._discovery_wake.set()
        self._discovery_wake = trio.Event()

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
        attached = self._factory.create(
            report,
            limits,
            self._instance_proxy.attached,
            self.process_started_at,
        )
        self._instance_proxy.attach(attached)
        _log.info(
            "instance_attached",
            service=report.service,
            instance=report.instance,
            incarnation=report.incarnation,
            slots=report.slots,
            version=report.version,
            cold_seconds=report.cold_time.total_seconds(),
        )
        return attached

    def _apply_cold_time(
        self, attached: AttachedInstance, seconds: float
    ) -> None:
        attached.admission.set_cold(seconds)
        self._set_state(
            UpstreamState.COLD if seconds > 0 else UpstreamState.WARM
        )

    def _set_state(self, state: UpstreamState) -> None:
        attached = self._instance_proxy.attached
        assert attached is not None
        if attached.summary.state is not state:
            self._update_summary(
                attached, attached.summary._replace(state=state)
            )

    def _update_summary(
        self, attached: AttachedInstance, summary: UpstreamSummary
    ) -> None:
        self._instance_proxy.attached = attached._replace(summary=summary)
        self._table.update_own(upstream=summary)
        _log.info(
            "instance_state",
            instance=summary.instance,
            incarnation=summary.incarnation,
            state=summary.state,
        )


def _is_same_instance(summary: UpstreamSummary, report: InstanceReport) -> bool:
    return (summary.service, summary.instance, summary.incarnation) == (
        report.service,
        report.instance,
        report.incarnation,
    )
