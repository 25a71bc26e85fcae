"""The concurrency limit of an upstream during its cold start."""

from rhubarbpaddle.measuring import Evidence, EvidenceKind, LatencyWindow

# The limit is raised only while the mean latency is at most this multiple of
# the reference latency.
_TOLERANCE = 1.25
_WINDOW_SAMPLES = 8
# With 0.25 s, five steps last longer than the load bursts for which a new
# upstream is needed.
_WINDOW_SECONDS = 0.1
# Without a baseline, only a falling mean latency shows that the upstream still
# warms up, and this takes longer to detect. An upstream that starts four times
# slower and warms up in 15 s improves by at least 5 % per second.
_TREND_SAMPLES = 16
_TREND_SECONDS = 1.0
_TREND = 0.95
# After this many failed raises, the limit below the failed one is final.
_FAILED_TRIES = 3
# Some responses with status 500 or above are normal for a service. More than
# the fixed number plus this fraction indicate an overloaded upstream.
_FAILURE_SHARE = 0.2
_FAILURES = 2


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
        floor: The lowest mean latency of a window, in seconds, or None.
    """

    def __init__(self, slots: int, baseline: float | None, now: float) -> None:
        self.limit = 1
        self.finished = False
        self.floor: float | None = None
        self._slots = slots
        self._baseline = baseline
        self._window = LatencyWindow(now)
        self._trend = LatencyWindow(now)
        self._previous_mean: float | None = None
        self._lower = 1
        self._tries = 0
        self._strained_at = 1
        self._failures = 0
        self._entered = now

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
        if evidence.kind is EvidenceKind.NONE or started < self._entered:
            return
        if evidence.kind is EvidenceKind.FAILED:
            self._failures += 1
            if self._failures <= _FAILURES + _FAILURE_SHARE * self._trend.count:
                return
        if evidence.kind is not EvidenceKind.ANSWERED:
            self._tries = 0
            self._enter(1, now)
            self._previous_mean = None
            return
        if evidence.latency is None or concurrency < self.limit:
            return
        self._window.add(evidence.latency, concurrency)
        self._trend.add(evidence.latency, concurrency)
        if self._is_full(self._window, _WINDOW_SAMPLES, _WINDOW_SECONDS, now):
            self._compare_with_baseline(now)
        if self._is_full(self._trend, _TREND_SAMPLES, _TREND_SECONDS, now):
            self._compare_with_trend(now)

    def _is_full(
        self, window: LatencyWindow, samples: int, seconds: float, now: float
    ) -> bool:
        return window.count >= samples and now - window.opened >= seconds

    def _compare_with_baseline(self, now: float) -> None:
        mean = self._window.mean
        self._window.restart(now)
        if self._baseline and mean <= _TOLERANCE * self._baseline:
            self.floor = min(self.floor or mean, mean)
            self._grow(now)

    def _compare_with_trend(self, now: float) -> None:
        mean = self._trend.mean
        previous, self._previous_mean = self._previous_mean, mean
        self.floor = min(self.floor or mean, mean)
        self._trend.restart(now)
        self._failures = 0
        if mean > _TOLERANCE * self.floor:
            self._step_back(now)
        elif previous is not None and mean >= _TREND * previous:
            self._grow(now)

    def _grow(self, now: float) -> None:
        if self.limit >= self._slots:
            self.finished = True
            return
        if self.limit >= self._strained_at:
            self._tries = 0
        self._lower = self.limit
        self._enter(min(self._slots, self.limit + max(1, self.limit // 2)), now)

    def _step_back(self, now: float) -> None:
        self._tries += 1
        self._strained_at = self.limit
        self._enter(self._lower, now)
        self.finished = self._tries >= _FAILED_TRIES

    def _enter(self, limit: int, now: float) -> None:
        self.limit = limit
        self._lower = min(self._lower, limit)
        self._entered = now
        self._failures = 0
        self._window.restart(now)
        self._trend.restart(now)
