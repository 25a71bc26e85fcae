"""How many requests at once a cold upstream bears."""

from rhubarbpaddle.measuring import Evidence, EvidenceKind, LatencyWindow

# Mean latency at a step, over the one that shows no strain, beyond which the
# step is not followed by the next.
_TOLERANCE = 1.25
_WINDOW_SAMPLES = 8
# With 0.25 s, five steps outlast the bursts in which an upstream is needed.
_WINDOW_SECONDS = 0.1
# Without a baseline only the trend shows that an upstream still warms up, and
# it takes longer to see: 5 % a second is what a warm-up of 15 s shows at least
# if the upstream is four times slower at its start.
_TREND_SAMPLES = 16
_TREND_SECONDS = 1.0
_TREND = 0.95
# Strained windows after which the step below counts as all there is.
_FAILED_TRIES = 3
# Answers of 500 or more may be the service's own; a fifth of them is not.
_FAILURE_SHARE = 0.2
_FAILURES = 2


class ColdStartRamp:
    """Lets one request in at a time, then more while latency stays good.

    A step is followed by one half as large again, at least by one more
    request, once a window of answers at the step's full concurrency was good.
    Good means within the tolerance of the known baseline, or, without one,
    of the lowest mean of this ramp and no longer falling.

    Attributes:
        limit: Requests that may run at once.
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
        """Takes over a changed hard limit."""
        self._slots = slots
        self.limit = min(self.limit, slots)

    def record(
        self, evidence: Evidence, started: float, concurrency: int, now: float
    ) -> None:
        """Takes over what one request showed.

        Args:
            evidence: How the request ended.
            started: Monotonic seconds at which it started.
            concurrency: Requests in flight when it started, with it.
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
