"""The concurrency limit of a warm upstream."""

from rhubarbpaddle.measuring import Evidence, EvidenceKind, LatencyWindow

# Latencies that are averaged before the limit changes. With 12, work times that
# vary by 90 % kept the limit at a third of the capacity.
_WINDOW_SAMPLES = 32
# The limit is reduced if the mean latency exceeds this multiple of the
# baseline. Below it, an upstream that queues requests internally holds less
# than a quarter more requests than it can run.
_LATENCY_TOLERANCE = 1.25
# Multiplies the limit after load shedding or a timeout.
_SHED_DECREASE_FACTOR = 0.7
# The smallest factor by which a high mean latency multiplies the limit.
_MIN_LATENCY_DECREASE_FACTOR = 0.5
# The baseline is measured at half the limit, where load doesn't slow responses
# down. The lowest mean of all windows is no substitute, because noise can only
# lower it.
_BASELINE_INTERVAL_SECONDS = 5.0
_BASELINE_WEIGHT = 0.3
# A longer gap than this between responses doesn't count towards the time of the
# next measurement. Otherwise the first requests after an idle period would find
# the limit halved at every upstream.
_IDLE_SECONDS = 1.0


class ConcurrencyLimit:
    """Adapts a limit by additive increase and multiplicative decrease.

    Attributes:
        proven_concurrency: The highest concurrency of a window with good
            latency since the limit was last reduced.
        baseline: The mean latency of an upstream that is not overloaded, in
            seconds, or None if it is unknown.
    """

    def __init__(self, slots: int, now: float, baseline: float | None) -> None:
        self.proven_concurrency = 1
        self.baseline = baseline
        self._limit = 1.0
        self._slots = slots
        self._window = LatencyWindow(now)
        self._reduced_at = now
        self._is_measuring_baseline = False
        self._baseline_measured_at = now
        self._low_load_window = LatencyWindow(now)
        self._last_response_at = now

    def get(self) -> int:
        """Returns the current limit of requests in flight, at least 1."""
        if self._is_measuring_baseline:
            return max(1, int(self._limit / 2))
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Applies a changed hard limit."""
        self._slots = slots
        self._limit = min(self._limit, slots)

    def restart(
        self, value: int, lowest_mean: float | None, now: float
    ) -> None:
        """Continues from the result of a cold start.

        Args:
            value: The limit of requests in flight at its end.
            lowest_mean: The lowest mean latency of a window of the cold
                start, in seconds, or None.
            now: Monotonic seconds.
        """
        self._limit = float(value)
        self.proven_concurrency = value
        if self.baseline is None or (
            lowest_mean is not None
            and lowest_mean > _LATENCY_TOLERANCE * self.baseline
        ):
            self.baseline = lowest_mean
        self._is_measuring_baseline = False
        self._baseline_measured_at = now
        self._window.restart(now)
        self._reduced_at = now

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
        if evidence.kind in (EvidenceKind.SHED, EvidenceKind.TIMED_OUT):
            self._reduce(_SHED_DECREASE_FACTOR, started, now)
        if evidence.kind is not EvidenceKind.RESPONDED:
            return
        if evidence.latency is None or started < self._window.started_at:
            return
        self._exclude_idle_time(now)
        if concurrency > self.get():
            return
        if concurrency <= max(1, int(self._limit / 2)):
            self._record_low_load(evidence.latency, concurrency, now)
        self._window.add(evidence.latency, concurrency)
        if self._window.count >= _WINDOW_SAMPLES:
            self._evaluate_window(now)

    def _exclude_idle_time(self, now: float) -> None:
        idle_seconds = now - self._last_response_at
        self._last_response_at = now
        if idle_seconds > _IDLE_SECONDS:
            self._baseline_measured_at = min(
                now, self._baseline_measured_at + idle_seconds
            )

    def _record_low_load(
        self, latency: float, concurrency: int, now: float
    ) -> None:
        """Updates the baseline from requests that ran at low load anyway."""
        if self._is_measuring_baseline or self.baseline is None:
            return
        self._low_load_window.add(latency, concurrency)
        if self._low_load_window.count < _WINDOW_SAMPLES:
            return
        mean = self._low_load_window.mean
        self._low_load_window.restart(now)
        if mean <= _LATENCY_TOLERANCE * self.baseline:
            self.baseline += _BASELINE_WEIGHT * (mean - self.baseline)
            self._baseline_measured_at = now

    def _evaluate_window(self, now: float) -> None:
        mean, peak_concurrency = (
            self._window.mean,
            self._window.peak_concurrency,
        )
        self._window.restart(now)
        if self.baseline is None:
            self.baseline = mean
        latency_ratio = mean / self.baseline if self.baseline else 1.0
        if self._is_measuring_baseline or self._limit < 2:
            if latency_ratio <= _LATENCY_TOLERANCE or self._limit < 2:
                self.baseline += _BASELINE_WEIGHT * (mean - self.baseline)
            self._is_measuring_baseline = False
            self._baseline_measured_at = now
        if latency_ratio > _LATENCY_TOLERANCE:
            self._reduce(
                max(_MIN_LATENCY_DECREASE_FACTOR, 1 / latency_ratio), now, now
            )
            return
        self.proven_concurrency = max(self.proven_concurrency, peak_concurrency)
        if peak_concurrency >= int(self._limit):
            self._limit = min(self._slots, self._limit + 1)
        self._is_measuring_baseline = (
            self._limit >= 2
            and now - self._baseline_measured_at >= _BASELINE_INTERVAL_SECONDS
        )

    def _reduce(self, factor: float, started: float, now: float) -> None:
        # Requests that started before the last reduction don't show whether
        # the reduced limit is low enough.
        if started < self._reduced_at:
            return
        self._limit = max(1.0, self._limit * factor)
        self.proven_concurrency = min(self.proven_concurrency, int(self._limit))
        self._reduced_at = now
        self._is_measuring_baseline = False
        self._window.restart(now)
