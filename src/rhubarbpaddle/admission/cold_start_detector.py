"""Detects by its responses that an upstream has become cold."""

from rhubarbpaddle.measuring import Evidence, EvidenceKind

# The upstream counts as cold again after this many consecutive responses that
# each took at least this multiple of the warm latency, although at most half
# the proven concurrency was in flight.
_COLD_LATENCY_RATIO = 3.0
_COLD_SLOW_RESPONSES = 3
# Consecutive timeouts at low concurrency that indicate a cold upstream.
_COLD_TIMEOUTS = 2
# Consecutive responses with status 500 or above that indicate a cold upstream.
# An overloaded upstream doesn't always report that it sheds load.
_COLD_FAILURES = 3
# Requests that end in these ways indicate a probable restart, after which the
# upstream is cold.
_RESTART_KINDS = (EvidenceKind.LOST, EvidenceKind.UNREACHABLE)


class ColdStartDetector:
    """Decides whether a warm upstream has restarted or slowed down."""

    def __init__(self) -> None:
        self._slow_responses = 0
        self._timeouts = 0
        self._failures = 0

    def restart(self) -> None:
        """Forgets the responses so far, as at the start of a cold start."""
        self._slow_responses = self._timeouts = self._failures = 0

    def record(
        self,
        evidence: Evidence,
        concurrency: int,
        proven_concurrency: int,
        baseline: float | None,
    ) -> bool:
        """Records how one request ended.

        Args:
            evidence: How the request ended.
            concurrency: Requests in flight when it started, including it.
            proven_concurrency: The concurrency that the upstream sustains.
            baseline: The warm latency in seconds, or None if it is unknown.

        Returns:
            Whether the upstream counts as cold.
        """
        has_low_concurrency = concurrency <= max(1, proven_concurrency // 2)
        slow = (
            evidence.kind is EvidenceKind.RESPONDED
            and evidence.latency is not None
            and baseline is not None
            and evidence.latency >= _COLD_LATENCY_RATIO * baseline
        )
        self._slow_responses = (
            self._slow_responses + 1 if slow and has_low_concurrency else 0
        )
        if evidence.kind is EvidenceKind.TIMED_OUT and has_low_concurrency:
            self._timeouts += 1
        elif evidence.kind is EvidenceKind.RESPONDED:
            self._timeouts = 0
        failed = evidence.kind is EvidenceKind.FAILED
        self._failures = self._failures + 1 if failed else 0
        return (
            evidence.kind in _RESTART_KINDS
            # The upstream sheds load at a concurrency that it sustained before.
            or (
                evidence.kind is EvidenceKind.SHED
                and concurrency <= proven_concurrency
            )
            or self._slow_responses >= _COLD_SLOW_RESPONSES
            or self._timeouts >= _COLD_TIMEOUTS
            or self._failures >= _COLD_FAILURES
        )
