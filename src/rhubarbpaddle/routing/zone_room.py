"""The estimate of room and wait for a service in one zone."""

import math

# Weight of the newest attempt. Two refusals in a row by instances with a queue
# make a zone count as full.
_NEWEST_WEIGHT = 0.5
# Time constant with which the estimate decays to "room, no wait". While a zone
# is full, each gateway thus sends an attempt there about every 0.4 s, which
# shows whether it has room again.
_DECAY_SECONDS = 2.0
# How long a zone stays full after an attempt that found it closed. Such an
# attempt takes a timeout of 0.25 s, much longer than a refusal.
_CLOSED_SECONDS = 1.0
# A zone counts as full above this fraction of attempts that met a queue.
_FULL_FRACTION = 0.7


class ZoneRoom:
    """Moving averages over this gateway's attempts at a zone's instances.

    They cover the attempts that were not permitted to queue. Their results are
    the only information about the load of other hosts that costs no message.
    """

    def __init__(self) -> None:
        self._contended_fraction = 0.0
        self._wait_seconds = 0.0
        self._observed_at = float("-inf")
        self._closed_until = float("-inf")

    def observe(self, contended: bool, wait_seconds: float, now: float) -> None:
        """Records the result of an attempt.

        Args:
            contended: Whether the instance refused it while others queued. A
                refusal without a queue shows only that the regular slots were
                in use.
            wait_seconds: The expected wait in its queue, 0 if it accepted.
            now: Monotonic seconds.
        """
        kept = (1 - _NEWEST_WEIGHT) * self._get_decay(now)
        self._contended_fraction = (
            kept * self._contended_fraction + _NEWEST_WEIGHT * contended
        )
        self._wait_seconds = (
            kept * self._wait_seconds + _NEWEST_WEIGHT * wait_seconds
        )
        self._observed_at = now

    def observe_closed(self, now: float) -> None:
        """Records that the zone is unreachable or out of service.

        One attempt is enough to make it full: an unreachable node costs a
        timeout, and all nodes of a zone that is out of service refuse.
        """
        self._closed_until = now + _CLOSED_SECONDS

    def is_full(self, now: float) -> bool:
        """Returns whether further attempts would probably be refused."""
        if now < self._closed_until:
            return True
        fraction = self._contended_fraction * self._get_decay(now)
        return fraction > _FULL_FRACTION

    def get_wait(self, now: float) -> float:
        """Returns the expected wait in seconds, 0 if it is unknown."""
        return self._wait_seconds * self._get_decay(now)

    def _get_decay(self, now: float) -> float:
        return math.exp((self._observed_at - now) / _DECAY_SECONDS)
