"""The failure rate of the recent responses of an instance."""

from rhubarbpaddle.clock import Clock

# Weight of the newest response in the average, which thus covers about the last
# eight responses.
_NEWEST_WEIGHT = 0.125
# An instance counts as failing above this rate; healthy services stay below
# 1 %.
_FAILING_RATE = 0.3
# Minimum time between the trial requests that detect whether a failing instance
# has recovered.
_TRIAL_INTERVAL_SECONDS = 0.4


class FailureRate:
    """Detects an instance that fails many of its requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate = 0.0
        self._trial_at = float("-inf")

    def record(self, failed: bool) -> None:
        """Records a response."""
        self._rate += _NEWEST_WEIGHT * (float(failed) - self._rate)

    def is_failing(self) -> bool:
        """Returns whether requests should use other instances."""
        return self._rate > _FAILING_RATE

    def try_start_trial(self) -> bool:
        """Starts a trial request if one is due; returns whether it did."""
        now = self._clock.monotonic()
        if now - self._trial_at < _TRIAL_INTERVAL_SECONDS:
            return False
        self._trial_at = now
        return True
