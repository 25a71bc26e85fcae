"""Outlier detection for the instances of a service."""

# Weight of the newest latency in the moving average.
_LATENCY_WEIGHT = 0.25
_MIN_SAMPLES = 4
# An instance is ejected when its latency estimate exceeds this multiple of the
# service's median. With exponential service times, a healthy instance exceeds 4
# in fewer than one of 10,000 requests.
_EJECTION_RATIO = 4.0
# Up to this multiple of the median, an instance does not count as slow.
_SLOW_RATIO = 2.0
# Consecutive failures after which an instance is ejected.
_EJECTION_FAILURES = 2
# Consecutive successes that end the trial of an ejected instance.
_TRIAL_SUCCESSES = 3
_FIRST_EJECTION_SECONDS = 0.5
_MAX_EJECTION_SECONDS = 2.0


class InstanceHealth:
    """Ejects a slow or failing instance and retries it later.

    Attributes:
        latency: The moving average of the latency in seconds without the
            round trip, or None if it is unknown.
    """

    def __init__(self) -> None:
        self.latency: float | None = None
        self._samples = 0
        self._failures = 0
        self._trial_successes = _TRIAL_SUCCESSES
        self._ejection_seconds = _FIRST_EJECTION_SECONDS
        self._avoided_until = float("-inf")

    def is_eligible(self, in_flight: int, now: float) -> bool:
        """Returns whether the instance may get a request.

        Args:
            in_flight: Requests of this node in flight at the instance.
            now: Monotonic seconds.
        """
        if now < self._avoided_until:
            return False
        return self._trial_successes >= _TRIAL_SUCCESSES or in_flight == 0

    def get_latency_ratio(self, median: float) -> float:
        """Returns the instance's latency as a multiple of the median.

        Args:
            median: Median latency of the service in seconds.

        Returns:
            At least 1; values up to 2 count as 1, because single latencies
            vary that much.
        """
        if self.latency is None or self._samples < _MIN_SAMPLES:
            return 1.0
        ratio = self.latency / median if median > 0 else 1.0
        return ratio if ratio > _SLOW_RATIO else 1.0

    def observe_response(
        self, latency: float, succeeded: bool, median: float, now: float
    ) -> None:
        """Records a response or an error of the instance.

        Args:
            latency: Seconds without the round trip.
            succeeded: False for errors and 5xx responses.
            median: Median latency of the service in seconds, 0 if unknown.
            now: Monotonic seconds.
        """
        if not succeeded:
            self._failures += 1
            in_trial = self._trial_successes < _TRIAL_SUCCESSES
            if self._failures >= _EJECTION_FAILURES or in_trial:
                self._eject(now)
            return
        self._failures = 0
        self._samples += 1
        if self.latency is None:
            self.latency = latency
        else:
            self.latency += _LATENCY_WEIGHT * (latency - self.latency)
        if (
            median > 0
            and self._samples >= _MIN_SAMPLES
            and self.latency > _EJECTION_RATIO * median
        ):
            self._eject(now)
        elif self._trial_successes < _TRIAL_SUCCESSES:
            self._observe_trial(latency, median, now)

    def avoid(self, seconds: float, now: float) -> None:
        """Stops requests, then permits one at a time until one succeeds.

        Args:
            seconds: How long no request is sent to the instance.
            now: Monotonic seconds.
        """
        self._avoided_until = max(self._avoided_until, now + seconds)
        self._trial_successes = min(self._trial_successes, _TRIAL_SUCCESSES - 1)

    def _observe_trial(self, latency: float, median: float, now: float) -> None:
        if median > 0 and latency > _EJECTION_RATIO * median:
            self._eject(now)
            return
        self._trial_successes += 1
        if self._trial_successes >= _TRIAL_SUCCESSES:
            self._ejection_seconds = _FIRST_EJECTION_SECONDS

    def _eject(self, now: float) -> None:
        if now < self._avoided_until:
            return
        self.avoid(self._ejection_seconds, now)
        self._ejection_seconds = min(
            2 * self._ejection_seconds, _MAX_EJECTION_SECONDS
        )
        self._trial_successes = 0
        self._failures = 0
        self._samples = 0
        self.latency = None
