"""A gateway's current information about one instance."""

from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.routing.instance_condition import (
    UNIMPAIRED,
    InstanceCondition,
)

# Maximum age of a report. Slow periods last 100 ms or more, so a report stays
# valid for about half of that.
_MAX_REPORT_AGE_SECONDS = 0.06
# How long an unreachable node is avoided, unless no other node remains.
_AVOID_SECONDS = 1.0
# An instance counts as slow at this slowdown factor.
_SLOWDOWN_THRESHOLD = 2.0
_AVOIDED = InstanceCondition(avoided=True)


class InstanceView:
    """Holds this node's requests in flight and the newest load report.

    Attributes:
        in_flight: Requests that this node has in flight at the instance.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self._report: LoadReport | None = None
        self._reported_at = float("-inf")
        self._avoided_until = float("-inf")

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Records the load report of a response or a refusal."""
        self._report = report
        self._reported_at = now
        self._avoided_until = float("-inf")

    def avoid(self, now: float) -> None:
        """Records that the node beside the instance was unreachable."""
        self._avoided_until = now + _AVOID_SECONDS

    def get_condition(self, now: float) -> InstanceCondition:
        """Returns what stands against a choice of the instance."""
        report = self._report
        if report is None:
            return _AVOIDED if now < self._avoided_until else UNIMPAIRED
        is_cold = report.state is UpstreamState.COLD
        if now - self._reported_at > _MAX_REPORT_AGE_SECONDS:
            if not is_cold and now >= self._avoided_until:
                return UNIMPAIRED
            return InstanceCondition(now < self._avoided_until, cold=is_cold)
        is_slow = report.slowdown >= _SLOWDOWN_THRESHOLD
        is_full = report.in_flight >= report.limit or report.queued > 0
        return InstanceCondition(
            now < self._avoided_until, is_full or is_slow, is_slow, is_cold
        )

    def get_load(self, slots: int, now: float) -> float:
        """Returns the known requests as a fraction of the slots.

        The result exceeds 1 if requests are queued. A recent report includes
        the requests of other gateways.
        """
        requests = self.in_flight
        report = self._get_recent_report(now)
        if report is not None:
            requests = max(requests, report.in_flight + report.queued)
        return requests / max(1, slots)

    def _get_recent_report(self, now: float) -> LoadReport | None:
        is_recent = now - self._reported_at <= _MAX_REPORT_AGE_SECONDS
        return self._report if is_recent else None
