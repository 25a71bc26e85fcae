"""The mean latency over a window of consecutive requests."""


class LatencyWindow:
    """Collects latencies until there are enough of them for a decision.

    Attributes:
        started_at: Monotonic seconds at which the window was started.
        count: The number of latencies collected.
        peak_concurrency: The highest concurrency at which one of the requests
            started.
    """

    def __init__(self, now: float) -> None:
        self.restart(now)

    def restart(self, now: float) -> None:
        """Drops all latencies and starts a new window."""
        self.started_at = now
        self.count = 0
        self.peak_concurrency = 0
        self._total = 0.0

    def add(self, latency: float, concurrency: int) -> None:
        """Adds a latency.

        Args:
            latency: Seconds.
            concurrency: Requests in flight when this one started, including
                it.
        """
        self.count += 1
        self._total += latency
        self.peak_concurrency = max(self.peak_concurrency, concurrency)

    @property
    def mean(self) -> float:
        """The mean latency in seconds; 0 without any."""
        return self._total / self.count if self.count else 0.0
