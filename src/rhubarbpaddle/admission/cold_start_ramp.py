"""The concurrency limit of an upstream during its cold start."""

from rhubarbpaddle.measuring import Evidence, EvidenceKind, LatencyWindow

# The limit is raised only while the mean latency is at most this multiple of
# the reference latency.
_LATENCY_TOLERANCE = 1.25
_WINDOW_SAMPLES = 8
# Five steps of 0.25 s each would last longer than the load bursts for which a
# new upstream is needed.
_WINDOW_SECONDS = 0.1
# Without a baseline, only a falling mean latency shows that the upstream still
# warms up, and this takes longer to detect. An upstream that starts four times
# slower and warms up in 15 s improves by at least 5 % per second.
_TREND_SAMPLES = 16
_TREND_SECONDS = 1.0
_WARMING_RATIO = 0.95
# After this many failed raises, the limit below the failed one is final.
_MAX_FAILED_RAISES = 3
# Some responses with status 500 or above are normal for a service. More than
# `_ALLOWED_FAILURES` plus this fraction indicate an overloaded upstream.
_ALLOWED_FAILURE_FRACTION = 0.2
_ALLOWED_FAILURES = 2


class ColdStartRamp:
    """Starts at a limit of 1 and raises it while the latency stays good.

    A step raises the limit by half, and at least by one, after a window of
    responses at the full current limit whose mean latency was good. Good
    means within the tolerance of the known baseline. Without a baseline, it
    means within the tolerance of the lowest mean of this ramp and no longer
    falling.

    Attributes:
        limit: The current limit of requests in flight.
        finished: Whether the upstream counts as warm.
        lowest_mean: The lowest mean latency of a window, in seconds, or None.
    """

    def __init__(self, slots: int, baseline: float | None, now: float) -> None:
        self.limit = 1
        self.finished = False
        self.lowest_mean: float | None = None
        self._slots = slots
        self._baseline = baseline
        self._window = LatencyWindow(now)
        self._trend_window = LatencyWindow(now)
        self._previous_mean: float | None = None
        self._fallback_limit = 1
        self._failed_raises = 0
        self._overloaded_limit = 1
        self._failures = 0
        self._limit_set_at = now

    def set_slots(self, slots: int) -> None:
        """Applies a changed hard limit."""
        self._slots = slots
        self.limit = min(self.limit, slots)

    def record(
        self, evidence: Evidence, started: float, concurrency: int, now: float
    ) -> None:
        """Records how one request ended.

        Args:
            evidence: How the request ended.
            started: Monotonic seconds at which it started.
            concurrency: Requests in flight when it started, including it.
            now: Monotonic seconds.
        """
        if evidence.kind is EvidenceKind.NONE or started < self._limit_set_at:
            return
        if evidence.kind is EvidenceKind.FAILED:
            self._failures += 1
            if (
                self._failures
                <= _ALLOWED_FAILURES
                + _ALLOWED_FAILURE_FRACTION * self._trend_window.count
            ):
                return
        if evidence.kind is not EvidenceKind.RESPONDED:
            self._failed_raises = 0
            self._set_limit(1, now)
            self._previous_mean = None
            return
        if evidence.latency is None or concurrency < self.limit:
            return
        self._window.add(evidence.latency, concurrency)
        self._trend_window.add(evidence.latency, concurrency)
        if self._is_full(self._window, _WINDOW_SAMPLES, _WINDOW_SECONDS, now):
            self._compare_with_baseline(now)
        if self._is_full(
            self._trend_window, _TREND_SAMPLES, _TREND_SECONDS, now
        ):
            self._compare_with_trend(now)

    def _is_full(
        self, window: LatencyWindow, samples: int, seconds: float, now: float
    ) -> bool:
        return window.count >= samples and now - window.started_at >= seconds

    def _compare_with_baseline(self, now: float) -> None:
        mean = self._window.mean
        self._window.restart(now)
        if self._baseline and mean <= _LATENCY_TOLERANCE * self._baseline:
            self.lowest_mean = min(self.lowest_mean or mean, mean)
            self._raise_limit(now)

    def _compare_with_trend(self, now: float) -> None:
        mean = self._trend_window.mean
        previous, self._previous_mean = self._previous_mean, mean
        self.lowest_mean = min(self.lowest_mean or mean, mean)
        self._trend_window.restart(now)
        self._failures = 0
        if mean > _LATENCY_TOLERANCE * self.lowest_mean:
            self._lower_limit(now)
        elif previous is not None and mean >= _WARMING_RATIO * previous:
            self._raise_limit(now)

    def _raise_limit(self, now: float) -> None:
        if self.limit >= self._slots:
            self.finished = True
            return
        if self.limit >= self._overloaded_limit:
            self._failed_raises = 0
        self._fallback_limit = self.limit
        self._set_limit(
            min(self._slots, self.limit + max(1, self.limit // 2)), now
        )

    def _lower_limit(self, now: float) -> None:
        self._failed_raises += 1
        self._overloaded_limit = self.limit
        self._set_limit(self._fallback_limit, now)
        self.finished = self._failed_raises >= _MAX_FAILED_RAISES

    def _set_limit(self, limit: int, now: float) -> None:
        self.limit = limit
        self._fallback_limit = min(self._fallback_limit, limit)
        self._limit_set_at = now
        self._failures = 0
        self._window.restart(now)
        self._trend_window.restart(now)
