"""The discovery of an instance that may have run before this process."""

import math
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.node.departures import Departures
from rhubarbpaddle.node.instance_factory import InstanceFactory
from rhubarbpaddle.node.instance_report import InstanceReport
from rhubarbpaddle.node.published_instance import (
    UNREPORTED_INCARNATION,
    PublishedInstance,
)
from rhubarbpaddle.node.report_sequence import ReportSequence
from rhubarbpaddle.rollout.instance_version import UNKNOWN_VERSION

# A running instance sends its first report to a new node within this time.
_DISCOVERY_SECONDS = 3.0
_DISCOVERY_INTERVAL = timedelta(milliseconds=100)
# The platform delivers some reports seconds late.
_MAX_REPORT_DELAY_SECONDS = 5.0


class InstanceDiscovery:
    """Attaches an instance on the evidence of a health check.

    Without a report it would be idle until its next one, although its health
    check provides all the information that is needed. A report may be older
    than a departure that an earlier process of this node has acknowledged, so
    that it needs the health check as well.

    Attributes:
        process_started_at: Monotonic seconds; an earlier process may have sent
            requests to the instance before.
        pending_report: The newest report if its instance could not be attached
            yet.
    """

    def __init__(
        self,
        factory: InstanceFactory,
        published: PublishedInstance,
        reports: ReportSequence,
        departures: Departures,
        get_limits: Callable[[str], ServiceLimits | None],
        wait_for_departures: Callable[[], Awaitable[None]],
        clock: Clock,
    ) -> None:
        """Creates the discovery of a node without an instance.

        Args:
            factory: Checks the health of the instance.
            published: The instance that is in use.
            reports: The reports of the instance.
            departures: The instances that have departed.
            get_limits: Returns a service's limits, or None if it is unknown.
            wait_for_departures: Waits a short time until departures that the
                earlier process of this node has acknowledged are known.
            clock: The source of time.
        """
        self.process_started_at = float("-inf")
        self.pending_report: InstanceReport | None = None
        self._factory = factory
        self._published = published
        self._reports = reports
        self._departures = departures
        self._get_limits = get_limits
        self._wait_for_departures = wait_for_departures
        self._clock = clock
        self._waited_for_departures = False
        self._wake = trio.Event()

    async def run(self, service: str) -> None:
        """Attaches an instance whenever one may run that is not in use.

        Args:
            service: The service of the instance on this host.
        """
        while True:
            wake = self._wake
            interval = math.inf
            if self._must_discover():
                await self._try_to_attach(service)
                interval = _DISCOVERY_INTERVAL.total_seconds()
            with trio.move_on_after(interval):
                await wake.wait()

    def wake(self) -> None:
        """Checks at once, as when the limits of a service have become known."""
        self._wake.set()
        self._wake = trio.Event()

    def defer(self, report: InstanceReport) -> None:
        """Keeps a report until its instance can be attached."""
        self.pending_report = report
        self.wake()

    def may_have_departed(self, report: InstanceReport) -> bool:
        """Returns whether an earlier process may have acknowledged a departure.

        Its acknowledgement may be more recent than a report that arrives late.
        A boot that followed one which this process has used can't have departed
        before.
        """
        attached = self._published.get()
        if attached is not None and (
            UNREPORTED_INCARNATION
            < attached.summary.incarnation
            < report.incarnation
        ):
            return False
        age = self._clock.monotonic() - self.process_started_at
        return age < _MAX_REPORT_DELAY_SECONDS

    def _must_discover(self) -> bool:
        now = self._clock.monotonic()
        if (
            self.pending_report is not None
            and self._reports.get_age() > _MAX_REPORT_DELAY_SECONDS
        ):
            self.pending_report = None
        return self.pending_report is not None or (
            self._published.get() is None
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
        report = self.pending_report
        if report is not None and reading.instance == report.instance:
            self.pending_report = None
            self._attach(report, limits, report.cold_time.total_seconds())
        elif (
            self._published.get() is None
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
            incarnation=UNREPORTED_INCARNATION,
            sequence=0,
            service=service,
            slots=max(1, reading.slots),
            leaving=False,
            cold_time=timedelta(seconds=cold_seconds),
            version=UNKNOWN_VERSION,
        )
        self._attach(report, limits, cold_seconds)

    def _attach(
        self, report: InstanceReport, limits: ServiceLimits, cold_seconds: float
    ) -> None:
        attached = self._published.attach(
            report, limits, self.process_started_at
        )
        self._published.apply_cold_time(attached, cold_seconds)
