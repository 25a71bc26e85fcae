"""Leaves room on a slow network link for short messages."""

import math
from datetime import timedelta

from rhubarbpaddle.clock import Clock

# The part of the link that a body takes if there is time enough. Three at
# once fill the link.
_LINK_SHARE = 0.3
# The part of the time to its latency target that a body's transfer may take.
_TIME_SHARE = 0.25
# Short messages wait behind a piece: 3 ms at 10 Mbit/s.
PIECE_BYTES = 4 * 1024
_LEAST_SECONDS = 0.001


class LinkPace:
    """Spreads a body over time, so that a queue on the link stays short.

    Links of small hosts carry 5 to 10 Mbit/s. A body of 60 KiB that is sent at
    once occupies them for 50 ms and more, and all other messages wait.
    """

    def __init__(self, link_rate: float, clock: Clock) -> None:
        """Makes a pace.

        Args:
            link_rate: Bytes a second that the host's link carries; infinite
                for no limit.
            clock: The source of time.
        """
        self._link_rate = link_rate
        self._clock = clock

    def get_rate(self, length: int | None, useful_until: float) -> float:
        """Returns the bytes a second at which a body is sent.

        Args:
            length: Its length, or None if that is not known.
            useful_until: Monotonic seconds of the latency target.
        """
        least = self._link_rate * _LINK_SHARE
        if length is None or math.isinf(useful_until):
            return least
        left = (useful_until - self._clock.monotonic()) * _TIME_SHARE
        return max(least, length / max(left, _LEAST_SECONDS))

    async def wait(self, sent_bytes: int, rate: float) -> None:
        """Waits until the next piece may be sent.

        Args:
            sent_bytes: The bytes of the piece before.
            rate: Bytes a second.
        """
        seconds = sent_bytes / rate
        if seconds >= _LEAST_SECONDS:
            await self._clock.sleep(timedelta(seconds=seconds))
