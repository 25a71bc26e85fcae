"""Which versions of the configuration this node has asked for."""

from rhubarbpaddle.clock import Clock

# A neighbour that has a version answers within a round trip and the transfer;
# the largest texts of today take 0.1 s over 10 Mbit/s.
_ANSWER_SECONDS = 0.5


class ConfigurationRequests:
    """Asks one neighbour at a time, although several announce a version."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._version = 0
        self._asked_at = float("-inf")

    def may_ask(self, version: int) -> bool:
        """Returns whether to ask for a version, and notes the request.

        Args:
            version: A version that is newer than the one in force.
        """
        now = self._clock.monotonic()
        if version <= self._version and now - self._asked_at < _ANSWER_SECONDS:
            return False
        self._version = version
        self._asked_at = now
        return True
