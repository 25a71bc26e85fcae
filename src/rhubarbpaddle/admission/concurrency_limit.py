"""The concurrency limit of a warm upstream."""

from rhubarbpaddle.measuring import Evidence, EvidenceKind, LatencyWindow

# Latencies that are averaged before the limit changes. With 12, work times that
# vary by 90 % kept the limit at a third of the capacity.
_WINDOW_SAMPLES = 32
# The limit is reduced if the mean latency exceeds this multiple of the
# baseline. Below it, an upstream that queues requests internally holds less
# than a quarter more than it can run.
_TOLERANCE = 1.25
# Multiplies the limit after load shedding or a timeout.
_SHED_FACTOR = 0.7
# The smallest factor by which a high mean latency multiplies the limit.
_LATENCY_FACTOR = 0.5
# The baseline is measured at half the limit, where load doesn't slow responses
# down. The lowest mean of all windows is no substitute: with noise it only ever
# decreases.
_MEASURE_SECONDS = 5.0
_BASELINE_GAIN = 0.3
# A gap of this length between responses doesn't count towards the time of the
# next measurement. Otherwise the first requests after an idle period would find
# the limit halved at every upstream.
_PAUSE_SECONDS = 1.0


class ConcurrencyLimit:
    """Adapts a limit by additive increase and multiplicative decrease.

    Attributes:
        proven: The highest concurrency of a window with good latency since
            the limit was last reduced.
        baseline: The mean latency of an upstream that is not overloaded, in
            seconds, or None if it is unknown.
    """

    def __init__(self, slots: int, now: float, baseline: float | None) -> None:
        self.proven = 1
        self.baseline = baseline
        self._value = 1.0
        self._slots = slots
        self._window = LatencyWindow(now)
        self._shrank = now
        self._measuring = False
        self._measured = now
        self._low = LatencyWindow(now)
        self._answered = now

    def get(self) -> int:
        """Returns the current limit of requests in flight, at least 1."""
        if self._measuring:
            return max(1, int(self._value / 2))
        return int(self._value)

    def set_slots(self, slots: int) -> None:
        """Applies a changed hard limit."""
        self._slots = slots
        self._value = min(self._value, slots)

    def restart(self, value: int, floor: float | None, now: float) -> None:
        """Continues from the result of a cold start.

        Args:
            value: The limit of requests in flight at its end.
            floor: The lowest mean latency of the cold start, in seconds.
            now: Monotonic seconds.
        """
        self._value = float(value)
        self.proven = value
        if self.baseline is None or (
            floor is not None and floor > _TOLERANCE * self.baseline
        ):
            self.baseline = floor
        self._measuring = False
        self._measured = now
        self._window.restart(now)
        self._shrank = now

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
            self._shrink(_SHED_FACTOR, started, now)
        if evidence.kind is not EvidenceKind.ANSWERED:
            return
        if evidence.latency is None or started < self._window.opened:
            return
        self._skip_pause(now)
        if concurrency > self.get():
            return
        if concurrency <= max(1, int(self._value / 2)):
            self._record_low(evidence.latency, concurrency, now)
        self._window.add(evidence.latency, concurrency)
        if self._window.count >= _WINDOW_SAMPLES:
            self._close_window(now)

    def _skip_pause(self, now: float) -> None:
        pause = now - self._answered
        self._answered = now
        if pause > _PAUSE_SECONDS:
            self._measured = min(now, self._measured + pause)

    def _record_low(self, latency: float, concurrency: int, now: float) -> None:
        """Updates the baseline from requests that ran at low load anyway."""
        if self._measuring or self.baseline is None:
            return
        self._low.add(latency, concurrency)
        if self._low.count < _WINDOW_SAMPLES:
            return
        mean = self._low.mean
        self._low.restart(now)
        if mean <= _TOLERANCE * self.baseline:
            self.baseline += _BASELINE_GAIN * (mean - self.baseline)
            self._measured = now

    def _close_window(self, now: float) -> None:
        mean, peak = self._window.mean, self._window.peak
        self._window.restart(now)
        if self.baseline is None:
            self.baseline = mean
        excess = mean / self.baseline if self.baseline else 1.0
        if self._measuring or self._value < 2:
            if excess <= _TOLERANCE or self._value < 2:
                self.baseline += _BASELINE_GAIN * (mean - self.baseline)
            self._measuring = False
            self._measured = now
        if excess > _TOLERANCE:
            self._shrink(max(_LATENCY_FACTOR, 1 / excess), now, now)
            return
        self.proven = max(self.proven, peak)
        if peak >= int(self._value):
            self._value = min(self._slots, self._value + 1)
        self._measuring = (
            self._value >= 2 and now - self._measured >= _MEASURE_SECONDS
        )

    def _shrink(self, factor: float, started: float, now: float) -> None:
        # Requests that started before the last reduction don't show whether
        # the reduced limit is low enough.
        if started < self._shrank:
            return
        self._value = max(1.0, self._value * factor)
        self.proven = min(self.proven, int(self._value))
        self._shrank = now
        self._measuring = False
        self._window.restart(now)
