"""Refusals of requests that an instance can't serve in time."""

from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.admission.block_reason import BlockReason
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor

_MIN_RETRY_AFTER = timedelta(milliseconds=100)


class InstanceRefusals:
    """Creates refusals, with the load that the decision was based on."""

    def __init__(
        self,
        slots: int,
        monitor: InstanceMonitor,
        get_report: Callable[[], LoadReport],
    ) -> None:
        """Creates refusals for an instance.

        Args:
            slots: All slots, including the last ones.
            monitor: Holds the newest reading of the instance.
            get_report: Returns the current load.
        """
        self._slots = slots
        self._monitor = monitor
        self._get_report = get_report

    def create(self, reason: BlockReason, wait: float) -> RefusedError:
        """Creates a refusal after which another instance may be tried.

        Args:
            reason: Why the instance can't accept the request.
            wait: The expected seconds until it can.
        """
        report = self._get_report()
        return RefusedError(
            f"instance_{reason.value}",
            f"the instance is {reason.value}: {self._describe(report)}",
            step="admit",
            may_retry=True,
            retry_after=_get_retry_after(wait),
            report=report,
            expected_wait=wait,
        )

    def create_late(self, wait: float) -> RefusedError:
        """Creates the refusal of a queued request that would end too late.

        Args:
            wait: The expected seconds until it could start.
        """
        report = self._get_report()
        return RefusedError(
            "overloaded",
            f"the request can't be answered in time: {self._describe(report)}",
            step="admit_late",
            retry_after=_get_retry_after(wait),
            report=report,
        )

    def create_above_share(
        self, usage_ratio: float, wait: float
    ) -> RefusedError:
        """Creates the refusal of a request that would only delay others.

        Another instance's queue would make the same decision, so that the
        request is not sent there.

        Args:
            usage_ratio: The organisation's usage relative to its cap.
            wait: The seconds after which its requests would be accepted.
        """
        report = self._get_report()
        return RefusedError(
            "organisation_above_share",
            f"the organisation uses {usage_ratio:.2f} of its cap, more"
            f" than the others: {self._describe(report)}",
            step="admit",
            retry_after=_get_retry_after(wait),
            report=report,
        )

    def _describe(self, report: LoadReport) -> str:
        """Describes the state that admission depends on, for messages."""
        reading = self._monitor.reading
        slowdown = reading.slowdown if reading else "unknown"
        age = self._monitor.get_age()
        return (
            f"slowdown factor {slowdown},"
            f" read {min(age, 999) * 1000:.0f} ms ago,"
            f" {report.in_flight} requests in flight,"
            f" {report.limit} of {self._slots} slots regular,"
            f" {report.queued} queued"
        )


def _get_retry_after(wait: float) -> timedelta:
    return max(_MIN_RETRY_AFTER, timedelta(seconds=wait))
