"""Whether an instance works more slowly when nearly all its slots are used."""

# Weight of the newest request; about the last ten count.
_WEIGHT = 0.1
_LEAST_SAMPLES = 8
# The last quarter of the slots adds a third to what three quarters do; half of
# that is left if each request takes this much longer.
_HARMFUL_RATIO = 1.15


class Crowding:
    """Compares requests that began in the last slots with others."""

    def __init__(self) -> None:
        self._ratios = [1.0, 1.0]
        self._samples = 0

    def note(self, ratio: float, crowded: bool) -> None:
        """Notes a request.

        Args:
            ratio: The time that it took, as a multiple of its route's mean.
            crowded: Whether it began in the last slots.
        """
        self._ratios[crowded] += _WEIGHT * (ratio - self._ratios[crowded])
        self._samples += crowded

    def is_harmful(self) -> bool:
        """Returns whether the last slots should stay free."""
        usual, crowded = self._ratios
        return self._samples >= _LEAST_SAMPLES and (
            crowded > _HARMFUL_RATIO * usual
        )
