"""The failure rate of the recent responses of an instance."""

from rhubarbpaddle.clock import Clock

# Weight of the newest response in the average, which thus covers about the last
# eight responses.
_WEIGHT = 0.125
# An instance counts as failing above this rate; healthy services stay below
# 1 %.
_FAILING_SHARE = 0.3
# Minimum time between the trial requests that detect whether a failing instance
# has recovered.
_TRIAL_SECONDS = 0.4


class FailureShare:
    """Detects an instance that fails many of its requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._share = 0.0
        self._trial_at = float("-inf")

    def note(self, failed: bool) -> None:
        """Records a response."""
        self._share += _WEIGHT * (float(failed) - self._share)

    def is_failing(self) -> bool:
        """Returns whether requests should use other instances."""
        return self._share > _FAILING_SHARE

    def try_trial(self) -> bool:
        """Starts a trial request if one is due; returns whether it did."""
        now = self._clock.monotonic()
        if now - self._trial_at < _TRIAL_SECONDS:
            return False
        self._trial_at = now
        return True
