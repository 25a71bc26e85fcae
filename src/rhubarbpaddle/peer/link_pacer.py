"""Paces large bodies on slow network links."""

import math
from datetime import timedelta

from rhubarbpaddle.clock import Clock

# Fraction of the link's rate for one body if its latency target allows it.
# Three concurrent bodies nearly fill the link.
_LINK_FRACTION = 0.3
# Fraction of the time until the latency target that the transfer may take.
_TIME_FRACTION = 0.25
# Other messages wait for at most one chunk per body: 3 ms at 10 Mbit/s.
PACED_CHUNK_BYTES = 4 * 1024
_MIN_SECONDS = 0.001


class LinkPacer:
    """Limits the rate of each body so that short messages are not delayed.

    Links of small hosts carry 5 to 10 Mbit/s. Sending a body of 60 KiB without
    pauses occupies such a link for 50 ms or more and delays all other messages.
    """

    def __init__(self, link_rate: float, clock: Clock) -> None:
        """Creates a pacer for the host's link.

        Args:
            link_rate: The link's capacity in bytes per second; infinite
                disables pacing.
            clock: The source of time.
        """
        self._link_rate = link_rate
        self._clock = clock

    def get_rate(self, length: int | None, useful_until: float) -> float:
        """Returns the rate for sending a body, in bytes per second.

        Args:
            length: The body's length in bytes, or None if not known.
            useful_until: Monotonic time in seconds of the request's latency
                target; infinite if it has none.
        """
        min_rate = self._link_rate * _LINK_FRACTION
        if length is None or math.isinf(useful_until):
            return min_rate
        seconds = (useful_until - self._clock.monotonic()) * _TIME_FRACTION
        return max(min_rate, length / max(seconds, _MIN_SECONDS))

    async def wait(self, sent_bytes: int, rate: float) -> None:
        """Waits until the next chunk may be sent.

        Pauses shorter than a millisecond are skipped.

        Args:
            sent_bytes: The size of the chunk that was just sent.
            rate: The body's rate in bytes per second.
        """
        seconds = sent_bytes / rate
        if seconds >= _MIN_SECONDS:
            await self._clock.sleep(timedelta(seconds=seconds))
