"""Creates the objects that send requests to the instance on this host."""

from collections import Counter

import trio

from rhubarbpaddle.admission.instance_admission import InstanceAdmission
from rhubarbpaddle.admission.share_change import ShareChange
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.http.health_client import HttpHealthClient
from rhubarbpaddle.http.upstream_client import HttpUpstreamClient
from rhubarbpaddle.http.upstream_dialect import UpstreamDialect
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.membership import UpstreamState, UpstreamSummary
from rhubarbpaddle.network import Network
from rhubarbpaddle.node.instance_report import InstanceReport
from rhubarbpaddle.node.upstream_reachability import UpstreamReachability
from rhubarbpaddle.telemetry import get_logger

# A health check that takes longer is repeated on a new connection.
_HEALTH_TIMEOUT_SECONDS = 0.1

_log = get_logger("instance")


class InstanceFactory:
    """Creates instances at one address, and checks who serves there.

    Attributes:
        share_results: The counts of all instances; see `InstanceAdmission`.
    """

    def __init__(
        self,
        address: str,
        network: Network,
        clock: Clock,
        dialect: UpstreamDialect,
    ) -> None:
        """Creates a factory.

        Args:
            address: The instance's `IP:PORT`.
            network: Opens connections to the instance.
            clock: The source of time.
            dialect: Maps requests and responses to the instance's headers.
        """
        self._address = address
        self._network = network
        self._clock = clock
        self._dialect = dialect
        self.share_results: Counter[str] = Counter()

    def create(
        self,
        report: InstanceReport,
        limits: ServiceLimits,
        previous: AttachedInstance | None,
        process_started_at: float,
    ) -> AttachedInstance:
        """Creates an instance that is not in use yet.

        Args:
            report: The instance's report.
            limits: The limits of its service.
            previous: The instance that was in use before, if there was one.
            process_started_at: Monotonic seconds; an earlier process may have
                sent requests to the instance before.
        """
        monitor = InstanceMonitor(
            self._create_health_client(limits), self._clock
        )
        admission = InstanceAdmission(
            report.slots,
            limits.cold_rate,
            monitor,
            self._clock,
            _log_share_change,
            self.share_results,
        )
        if (
            previous is not None
            and previous.summary.instance == report.instance
        ):
            # An instance that started again may have got requests before it
            # reported its new incarnation.
            admission.cold_start.rate_limit = (
                previous.admission.cold_start.rate_limit
            )
            admission.cold_start.rate_limit.limit = limits.cold_rate
        remaining = report.cold_time.total_seconds()
        cold_since = self._clock.monotonic() - (
            limits.cold_start.total_seconds() - remaining
        )
        if remaining > 0 and cold_since < process_started_at:
            admission.cold_start.rate_limit.assume_used_until(
                process_started_at
            )
        client = HttpUpstreamClient(
            self._network,
            self._clock,
            self._address,
            limits.connections,
            self._dialect,
            monitor.record_reading,
        )
        return AttachedInstance(
            UpstreamSummary(
                service=report.service,
                instance=report.instance,
                incarnation=report.incarnation,
                state=UpstreamState.DOWN,
                slots=report.slots,
                version=report.version,
            ),
            admission,
            monitor,
            client,
            UpstreamReachability(self._network, self._address),
        )

    async def check_health(
        self, limits: ServiceLimits
    ) -> InstanceReading | None:
        """Returns the reading of a health check, or None if it is unhealthy."""
        client = self._create_health_client(limits)
        reading = None
        try:
            with trio.move_on_after(_HEALTH_TIMEOUT_SECONDS):
                reading = await client.check()
        except (OSError, RhubarbpaddleError) as exc:
            _log.debug("discovery_check_failed", reason=exc)
        finally:
            await client.aclose()
        return reading if reading is not None and reading.healthy else None

    def _create_health_client(self, limits: ServiceLimits) -> HttpHealthClient:
        return HttpHealthClient(
            self._network,
            self._address,
            limits.health_path,
            self._dialect.parse_health,
        )


def _log_share_change(change: ShareChange) -> None:
    _log.info(
        "organisation_share_changed",
        organisation=change.organisation,
        above=change.is_above_share,
        ratio=f"{change.ratio:.2f}",
        others=f"{change.reference:.2f}",
    )
