"""The transfer of one body over a host's link."""

import math
from datetime import timedelta
from typing import TYPE_CHECKING

from rhubarbpaddle.clock import Clock

if TYPE_CHECKING:
    from rhubarbpaddle.peer.link_pacer import LinkPacer

# Shorter pauses are skipped; the next one is longer by as much.
_MIN_SECONDS = 0.001
# Timers end up to 1 ms late. A transfer makes up for at most this much, so that
# a body that needs the whole link gets it.
_MAX_CREDIT_SECONDS = 0.002
# A transfer that has not asked for its next turn by so long after the time for
# it waits for its receiver or its source, and the others share its part.
_IDLE_SECONDS = 0.05
# A body of unknown length is assumed to have at least as many bytes ahead as
# were sent, and at least this many.
_MIN_UNKNOWN_BYTES = 64 * 1024


class LinkTransfer:
    """Waits before each chunk of a body, as the body's part of the link asks.

    The chunks of all bodies take turns, so that a short message waits for at
    most one of them.
    """

    def __init__(
        self,
        pacer: "LinkPacer",
        clock: Clock,
        length: int | None,
        useful_until: float,
        time_fraction: float,
    ) -> None:
        """Creates a transfer that has sent nothing.

        Args:
            pacer: The pacer of the link.
            clock: The source of time.
            length: The body's length in bytes, or None if not known.
            useful_until: Monotonic time in seconds of the request's latency
                target; infinite if it has none.
            time_fraction: Fraction of the time until then that the transfer
                may take.
        """
        self._pacer = pacer
        self._clock = clock
        self._length = length
        self._useful_until = useful_until
        self._sent_bytes = 0
        now = clock.monotonic()
        # Infinite times stay infinite.
        self._finish_by = now + (useful_until - now) * time_fraction
        self._next_at = now
        self._waiting = False

    def is_active(self, now: float) -> bool:
        """Returns whether the transfer uses its part of the link.

        Args:
            now: Monotonic time in seconds.
        """
        return self._waiting or now <= self._next_at + _IDLE_SECONDS

    def is_late(self, now: float) -> bool:
        """Returns whether the latency target has passed.

        Args:
            now: Monotonic time in seconds.
        """
        return now >= self._useful_until

    def get_needed_rate(self, now: float) -> float:
        """Returns the rate at which the body ends in time.

        Args:
            now: Monotonic time in seconds.

        Returns:
            At most the link's rate, in bytes per second.
        """
        if math.isinf(self._finish_by):
            return 0.0
        if self._length is None:
            remaining = self._sent_bytes + _MIN_UNKNOWN_BYTES
        else:
            remaining = max(self._length - self._sent_bytes, 0)
        seconds = max(self._finish_by - now, _MIN_SECONDS)
        return min(remaining / seconds, self._pacer.link_rate)

    async def wait_turn(self, size: int) -> None:
        """Waits until the next chunk may be sent.

        Args:
            size: The size of the chunk in bytes.
        """
        pacer = self._pacer
        if math.isinf(pacer.link_rate):
            return
        self._waiting = True
        try:
            await self._sleep_until(self._next_at)
            async with pacer.turn:
                await self._sleep_until(pacer.free_at)
                earliest = self._clock.monotonic() - _MAX_CREDIT_SECONDS
                rate = pacer.get_rate(self)
                pacer.free_at = (
                    max(pacer.free_at, earliest) + size / pacer.link_rate
                )
                self._next_at = max(self._next_at, earliest) + size / rate
                self._sent_bytes += size
        finally:
            self._waiting = False

    async def _sleep_until(self, time: float) -> None:
        seconds = time - self._clock.monotonic()
        if seconds >= _MIN_SECONDS:
            await self._clock.sleep(timedelta(seconds=seconds))
