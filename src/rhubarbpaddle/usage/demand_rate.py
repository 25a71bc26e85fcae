"""The recent rate of requests."""

import math

_TIME_CONSTANT_SECONDS = 1.0


class DemandRate:
    """Averages a rate over about a second, with exponential decay."""

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._updated_at = now

    def add(self, count: int, now: float) -> None:
        """Records requests; a negative count takes back earlier ones."""
        self._count = max(0.0, self._get_decayed(now) + count)
        self._updated_at = now

    def get(self, now: float) -> float:
        """Returns the requests per second."""
        return self._get_decayed(now) / _TIME_CONSTANT_SECONDS

    def _get_decayed(self, now: float) -> float:
        elapsed = now - self._updated_at
        return self._count * math.exp(-elapsed / _TIME_CONSTANT_SECONDS)
