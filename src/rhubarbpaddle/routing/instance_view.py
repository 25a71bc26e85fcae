"""What a gateway knows of one instance at this moment."""

from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import UpstreamState

# Spells of slow work last 100 ms and more, so that a report tells of the
# present for about half of that.
_REPORT_SECONDS = 0.06
# A node that could not be reached is asked again after this time, or at once
# if no other is left.
_AVOID_SECONDS = 1.0
_SLOW_PACE = 2.0


class InstanceView:
    """Requests in flight from this node, and the newest report.

    Attributes:
        outstanding: Requests that this node has sent and that run.
    """

    def __init__(self) -> None:
        self.outstanding = 0
        self._report: LoadReport | None = None
        self._reported_at = float("-inf")
        self._avoid_until = float("-inf")

    def note_report(self, report: LoadReport, now: float) -> None:
        """Takes the load that came with an answer or a refusal."""
        self._report = report
        self._reported_at = now
        self._avoid_until = float("-inf")

    def avoid(self, now: float) -> None:
        """Notes that the node beside the instance was not reached."""
        self._avoid_until = now + _AVOID_SECONDS

    def is_avoided(self, now: float) -> bool:
        """Returns whether the node was out of reach a moment ago."""
        return now < self._avoid_until

    def is_busy(self, now: float) -> bool:
        """Returns whether the instance was full or slow a moment ago."""
        report = self._get_recent(now)
        if report is None:
            return False
        full = report.in_flight >= report.limit or report.queued > 0
        return full or report.pace >= _SLOW_PACE

    def is_slow(self, now: float) -> bool:
        """Returns whether the instance was slow a moment ago."""
        report = self._get_recent(now)
        return report is not None and report.pace >= _SLOW_PACE

    def is_cold(self) -> bool:
        """Returns whether the last report was of a cold start."""
        report = self._report
        return report is not None and report.state is UpstreamState.COLD

    def get_load(self, slots: int, now: float) -> float:
        """Returns the used share of the slots, as far as it is known."""
        known = self.outstanding
        report = self._get_recent(now)
        if report is not None:
            known = max(known, report.in_flight + report.queued)
        return known / max(1, slots)

    def _get_recent(self, now: float) -> LoadReport | None:
        is_recent = now - self._reported_at <= _REPORT_SECONDS
        return self._report if is_recent else None
