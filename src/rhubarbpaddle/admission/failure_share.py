"""How many of the latest answers of an instance were failures."""

from rhubarbpaddle.clock import Clock

# Weight of the newest answer; about the last eight count.
_WEIGHT = 0.125
# More failures than a healthy service shows (below 1 %) by far.
_FAILING_SHARE = 0.3
# While it fails, an instance gets one request in this time to show that it
# has recovered.
_TRIAL_SECONDS = 0.4


class FailureShare:
    """Tells an instance that fails many of its requests from others."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._share = 0.0
        self._trial_at = float("-inf")

    def note(self, failed: bool) -> None:
        """Notes an answer."""
        self._share += _WEIGHT * (float(failed) - self._share)

    def is_failing(self) -> bool:
        """Returns whether requests should go elsewhere."""
        return self._share > _FAILING_SHARE

    def try_trial(self) -> bool:
        """Returns whether a request may show if the instance recovered."""
        now = self._clock.monotonic()
        if now - self._trial_at < _TRIAL_SECONDS:
            return False
        self._trial_at = now
        return True
