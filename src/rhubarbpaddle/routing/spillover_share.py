"""The share of requests that are sent to other zones first."""

import math

# The instances of the own zone refuse this fraction of requests in equilibrium,
# so that they are always in use. A small shortage leaves the share at 0: its
# requests leave their zone after refusals only.
_TARGET_REFUSED_FRACTION = 0.3
# Change of the share with each request of its own zone. A lasting shortage
# brings the share near its maximum within about ten requests.
_GAIN = 0.15
# The remaining requests show when the shortage ends.
_MAX_SHARE = 0.8
# Factor on the share when another zone refuses a request.
_REFUSED_FACTOR = 0.7
# Time constant of the decay without requests.
_DECAY_SECONDS = 2.0
# A smaller share counts as none.
_MIN_SHARE = 0.02


class SpilloverShare:
    """An integrating controller that follows the shortage of the own zone.

    Each gateway runs it on the results of its own requests. Their small steps
    don't coincide, so that the sum over all gateways changes smoothly.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_at = float("-inf")

    def observe_own_zone(self, refused: bool, now: float) -> None:
        """Records whether the own zone had no room for a request."""
        change = _GAIN * (refused - _TARGET_REFUSED_FRACTION)
        self._update(self.get(now) + change, now)

    def observe_other_zone_refusal(self, now: float) -> None:
        """Records that another zone had no room for a request."""
        self._update(self.get(now) * _REFUSED_FACTOR, now)

    def get(self, now: float) -> float:
        """Returns the share, from 0 to `_MAX_SHARE`."""
        if not self._share:
            return 0.0
        share = self._share * math.exp(
            (self._updated_at - now) / _DECAY_SECONDS
        )
        return share if share >= _MIN_SHARE else 0.0

    def _update(self, share: float, now: float) -> None:
        self._share = min(_MAX_SHARE, max(0.0, share))
        self._updated_at = now
