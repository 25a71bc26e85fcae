"""The instance that this node uses, as it is published to peers."""

from collections.abc import Callable

from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.execution.instance_proxy import InstanceProxy
from rhubarbpaddle.membership import (
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.node.instance_boot import InstanceBoot
from rhubarbpaddle.node.instance_factory import InstanceFactory
from rhubarbpaddle.node.instance_report import InstanceReport
from rhubarbpaddle.telemetry import get_logger

# Represents the incarnation of an instance that has not reported yet. Real
# incarnations are start times in milliseconds and therefore higher.
UNREPORTED_INCARNATION = 1

_log = get_logger("instance")


class PublishedInstance:
    """Keeps the proxy and this node's entry in the member table consistent."""

    def __init__(
        self,
        factory: InstanceFactory,
        instance_proxy: InstanceProxy,
        table: MemberTable,
        get_service: Callable[[], str],
    ) -> None:
        """Creates the state of a node without an instance.

        Args:
            factory: Creates what is needed to use the instance.
            instance_proxy: Forwards requests to the instance.
            table: The member table; this node's entry describes the instance.
            get_service: Returns the service of the instance on this host.
        """
        self._factory = factory
        self._instance_proxy = instance_proxy
        self._table = table
        self._get_service = get_service

    def get(self) -> AttachedInstance | None:
        """Returns the instance that the proxy uses."""
        return self._instance_proxy.attached

    def find(self, report: InstanceReport) -> AttachedInstance | None:
        """Returns the instance if a report is about this boot of it."""
        attached = self._instance_proxy.attached
        if attached is None:
            return None
        summary = attached.summary
        is_same = (summary.service, summary.instance, summary.incarnation) == (
            report.service,
            report.instance,
            report.incarnation,
        )
        return attached if is_same else None

    def attach(
        self,
        report: InstanceReport,
        limits: ServiceLimits,
        process_started_at: float,
    ) -> AttachedInstance:
        """Replaces the instance; its state is published by `apply_cold_time`.

        Args:
            report: The instance's report.
            limits: The limits of its service.
            process_started_at: Monotonic seconds; an earlier process may have
                sent requests to the instance before.
        """
        attached = self._factory.create(
            report, limits, self._instance_proxy.attached, process_started_at
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

    def adopt_incarnation(self, report: InstanceReport) -> None:
        """Sets the incarnation of a discovered instance at its first report."""
        attached = self.find(
            report._replace(incarnation=UNREPORTED_INCARNATION)
        )
        if attached is None:
            return
        summary = attached.summary._replace(
            incarnation=report.incarnation, version=report.version
        )
        self._instance_proxy.attached = attached._replace(summary=summary)
        self._table.update_own(upstream=summary)

    def apply_cold_time(
        self, attached: AttachedInstance, seconds: float
    ) -> None:
        """Sets the remaining cold start time of the instance, 0 if warm."""
        attached.admission.set_cold(seconds)
        self.set_state(
            UpstreamState.COLD if seconds > 0 else UpstreamState.WARM
        )

    def set_state(self, state: UpstreamState) -> None:
        """Sets the state of the instance, of which there must be one."""
        attached = self._instance_proxy.attached
        assert attached is not None
        if attached.summary.state is not state:
            self._update_summary(
                attached, attached.summary._replace(state=state)
            )

    def apply_departure(
        self, attached: AttachedInstance, boot: InstanceBoot
    ) -> None:
        """Marks the instance as leaving unless it has started again since.

        Args:
            attached: The instance.
            boot: The boot of it that departs.
        """
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

    def publish_departure(self, boot: InstanceBoot, slots: int = 1) -> None:
        """Publishes the departure of an instance that is not attached.

        Args:
            boot: The boot that departs.
            slots: Requests that the instance could run concurrently.
        """
        self._table.update_own(
            upstream=UpstreamSummary(
                service=self._get_service(),
                instance=boot.instance,
                incarnation=boot.incarnation,
                state=UpstreamState.LEAVING,
                slots=slots,
            )
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
