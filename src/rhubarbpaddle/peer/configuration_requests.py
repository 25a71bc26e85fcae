"""Limits how often this node requests a configuration version."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.state_version import NO_STATE, StateVersion

# A neighbour responds within one round trip plus the transfer, which takes
# 0.1 s at 10 Mbit/s for the largest configurations.
_RESPONSE_SECONDS = 0.5


class ConfigurationRequests:
    """Prevents duplicate requests when several neighbours have a version.

    All control links share one instance. The same version is requested
    from another neighbour only if the first one did not respond in time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requested_version = NO_STATE
        self._requested_at = float("-inf")

    def should_request(self, version: StateVersion) -> bool:
        """Returns whether to request a version now, and records the request.

        Args:
            version: A version newer than the one in force.
        """
        now = self._clock.monotonic()
        if (
            not self._requested_version.lacks(version)
            and now - self._requested_at < _RESPONSE_SECONDS
        ):
            return False
        self._requested_version = version
        self._requested_at = now
        return True
