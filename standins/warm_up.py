"""The capacity of an upstream that warms up after its start."""

import trio


class WarmUp:
    """Models an upstream that is slow and has little capacity until it is warm.

    Its capacity grows linearly from one request to all slots. A cold upstream
    takes up to 4 times as long for a request. Above half of the capacity the
    time grows further, in proportion to the load, up to twice as long at full
    capacity.

    Attributes:
        violations: Requests that arrived when the capacity was exhausted.
        slows_under_load: Whether the latency rises with the load before the
            upstream fails.
    """

    def __init__(self, slots: int, seconds: float, requests: int = 0) -> None:
        """Creates a cold upstream.

        Args:
            slots: The capacity when warm, in concurrent requests.
            seconds: The minimum time until it is warm.
            requests: The minimum number of responses until it is warm, or 0.
        """
        self.violations = 0
        self.slows_under_load = True
        self._slots = slots
        self._seconds = seconds
        self._requests = requests
        self.restart()

    def restart(self) -> None:
        """Makes the upstream cold again."""
        self._started = trio.current_time()
        self._responses = 0

    def record_response(self) -> None:
        """Counts a response."""
        self._responses += 1

    def get_warmth(self) -> float:
        """Returns how warm the upstream is, from 0 (cold) to 1 (warm)."""
        age = trio.current_time() - self._started
        by_time = age / self._seconds if self._seconds else 1.0
        by_work = self._responses / self._requests if self._requests else 1.0
        return min(1.0, by_time, by_work)

    def get_capacity(self) -> float:
        """Returns how many concurrent requests the upstream sustains now."""
        return 1 + self.get_warmth() * (self._slots - 1)

    def get_slowdown(self, in_flight: int) -> float:
        """Returns the factor by which a request takes longer than when warm."""
        warmth = self.get_warmth()
        if warmth >= 1 or not self.slows_under_load:
            return 1.0
        load_factor = max(1.0, 2 * in_flight / self.get_capacity())
        return (1 + 3 * (1 - warmth)) * load_factor
