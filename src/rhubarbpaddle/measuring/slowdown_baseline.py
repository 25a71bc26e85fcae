"""The slowdown factor that an instance has outside of slow periods."""

from collections import deque

# Longer than a slow period (at most 0.5 s), so that the lowest reading of this
# time is not one of a slow period.
_WINDOW_SECONDS = 1.0
# Readings over this time include one from outside of a slow period.
_MIN_OBSERVED_SECONDS = 0.5
# Assumed limit of the factor of a cold start before it has been observed for
# that long, so that a slow period is not taken for the cold start.
_MAX_UNOBSERVED_FACTOR = 3.0
# Between readings that are further apart, the instance may have been fast.
_MAX_GAP_SECONDS = 0.3


class SlowdownBaseline:
    """Distinguishes a lasting slowdown from a slow period.

    Work takes longer for seconds on a cold instance, or on one whose host is
    overloaded. Waiting for the end of a slow period pays, waiting for the end
    of a lasting slowdown does not: requests would miss their deadlines in the
    queue of an idle instance.
    """

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._last_at = float("-inf")
        self._slow_since = float("inf")
        # Times and factors, both ascending: later readings that are lower
        # replace earlier ones.
        self._lowest: deque[tuple[float, float]] = deque()

    def record(self, slowdown: float, now: float) -> None:
        """Records a reading.

        Args:
            slowdown: The slowdown factor.
            now: Monotonic seconds.
        """
        if self._first_at is None:
            self._first_at = now
        if slowdown <= 1.0:
            self._slow_since = float("inf")
        elif now - self._last_at > _MAX_GAP_SECONDS:
            self._slow_since = now
        else:
            self._slow_since = min(self._slow_since, now)
        self._last_at = now
        while self._lowest and self._lowest[-1][1] >= slowdown:
            self._lowest.pop()
        self._lowest.append((now, slowdown))

    def get_lasting_factor(self, now: float) -> float:
        """Returns the lowest factor of the last second, or 1 if it is unknown.

        Args:
            now: Monotonic seconds.
        """
        if now - self._slow_since < _WINDOW_SECONDS:
            return 1.0
        return self._get_lowest(now)

    def get_cold_factor(self, now: float) -> float:
        """Returns the factor of a cold start that is in progress, at least 1.

        Args:
            now: Monotonic seconds.
        """
        if self._first_at is None:
            return 1.0
        factor = self._get_lowest(now)
        if now - self._first_at < _MIN_OBSERVED_SECONDS:
            return min(factor, _MAX_UNOBSERVED_FACTOR)
        return factor

    def _get_lowest(self, now: float) -> float:
        # The newest reading stays, whatever its age.
        while (
            len(self._lowest) > 1 and self._lowest[0][0] < now - _WINDOW_SECONDS
        ):
            self._lowest.popleft()
        return max(1.0, self._lowest[0][1])
