"""Round-trip times to the availability zones."""

# Used for another zone until enough requests have been measured.
DEFAULT_SECONDS = 0.001
_WINDOW_SECONDS = 30.0
_MIN_SAMPLES = 20


class ZoneRoundTrips:
    """Learns round-trip times from requests of one service.

    A refusal is answered without work by the upstream, so its latency is the
    round trip itself. Without refusals, the lowest latency of a zone is
    compared with the lowest latency of all zones: the time that the upstream
    takes is the same in both.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._answers: dict[str, _WindowedMinimum] = {}
        self._refusals: dict[str, _WindowedMinimum] = {}

    def observe_answer(self, zone: str, latency: float, now: float) -> None:
        """Notes the latency of an answer, in seconds."""
        self._answers.setdefault(zone, _WindowedMinimum()).add(latency, now)

    def observe_refusal(self, zone: str, latency: float, now: float) -> None:
        """Notes the latency of a refusal, in seconds."""
        self._refusals.setdefault(zone, _WindowedMinimum()).add(latency, now)

    def get(self, zone: str) -> float:
        """Returns the round trip to a zone, in seconds."""
        if zone == self._own_zone:
            return 0.0
        refusals = self._refusals.get(zone)
        if refusals is not None:
            return refusals.value
        answers = self._answers.get(zone)
        near = self._answers.get(self._own_zone)
        if (
            answers is None
            or near is None
            or min(answers.samples, near.samples) < _MIN_SAMPLES
        ):
            return DEFAULT_SECONDS
        return max(0.0, answers.value - near.value)


class _WindowedMinimum:
    """The lowest value of the last one to two windows."""

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
