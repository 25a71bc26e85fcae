"""Estimates of the round-trip times to the availability zones."""

# Assumed for another zone until enough requests have been measured.
DEFAULT_ROUND_TRIP_SECONDS = 0.001
_WINDOW_SECONDS = 30.0
_MIN_SAMPLES = 20


class ZoneRoundTrips:
    """Estimates round-trip times from the requests of one service.

    A refusal involves no work of the upstream, so its latency is the round
    trip itself. Without refusals, the estimate is the difference between the
    lowest latencies of a zone and of the local zone, which include the same
    upstream time.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._responses: dict[str, _WindowedMinimum] = {}
        self._refusals: dict[str, _WindowedMinimum] = {}

    def observe_response(self, zone: str, latency: float, now: float) -> None:
        """Records the latency of a response, in seconds."""
        self._responses.setdefault(zone, _WindowedMinimum()).add(latency, now)

    def observe_refusal(self, zone: str, latency: float, now: float) -> None:
        """Records the latency of a refusal, in seconds."""
        self._refusals.setdefault(zone, _WindowedMinimum()).add(latency, now)

    def get(self, zone: str) -> float:
        """Returns the estimated round-trip time to a zone in seconds."""
        if zone == self._own_zone:
            return 0.0
        refusals = self._refusals.get(zone)
        if refusals is not None:
            return refusals.value
        responses = self._responses.get(zone)
        own_responses = self._responses.get(self._own_zone)
        if (
            responses is None
            or own_responses is None
            or min(responses.samples, own_responses.samples) < _MIN_SAMPLES
        ):
            return DEFAULT_ROUND_TRIP_SECONDS
        return max(0.0, responses.value - own_responses.value)


class _WindowedMinimum:
    """Tracks the lowest value of the last one to two time windows."""

    def __init__(self) -> None:
        self.samples = 0
        self.value = float("inf")
        self._current = float("inf")
        self._window_end = float("-inf")

    def add(self, value: float, now: float) -> None:
        self.samples += 1
        if now >= self._window_end:
            self._window_end = now + _WINDOW_SECONDS
            self.value = min(self._current, value)
            self._current = value
        self._current = min(self._current, value)
        self.value = min(self.value, value)
