"""How often queued requests above their share get to start."""

# Weight of the newest start in the fraction; about the starts of a second.
_NEWEST_WEIGHT = 0.05
# Fraction before the first start.
_INITIAL_FRACTION = 0.5
# Least fraction that is assumed, so that single requests still queue and
# measure whether there is capacity for more.
_MIN_FRACTION = 0.25


class YieldingStarts:
    """Estimates the wait of requests that later ones will overtake.

    Requests above their share yield also to those that arrive after them. A
    wait that is estimated from the present queue alone would be too short, and
    they would be refused only when most of their time has passed.
    """

    def __init__(self) -> None:
        self._fraction = _INITIAL_FRACTION

    def record(self, is_above_share: bool) -> None:
        """Records that a request of an organisation has left the queue."""
        self._fraction += _NEWEST_WEIGHT * (is_above_share - self._fraction)

    def extend_wait(self, seconds: float) -> float:
        """Returns the expected wait of a request above its share.

        Args:
            seconds: The wait if no other requests arrived.
        """
        return seconds / max(_MIN_FRACTION, self._fraction)
