"""Paces large bodies on slow network links."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.peer.link_share import get_level
from rhubarbpaddle.peer.link_transfer import LinkTransfer

# Fraction of the link's rate for all bodies together if their latency targets
# allow it; the rest is left to short messages.
_SHARED_FRACTION = 0.9
# Fraction of the link's rate for one body if its latency target allows it. The
# hosts that receive bodies have links of the same rate, and receive them from
# several hosts at once.
_MAX_BODY_FRACTION = 0.3
# Fraction of the link's rate that bodies in no hurry, and late ones, have in
# any case, all together. They would otherwise stop beside one in a hurry.
_MIN_SHARED_FRACTION = 0.1
# A short message waits for one chunk: 3 ms at 10 Mbit/s.
_CHUNK_SECONDS = 0.0025
# Smaller chunks cost more processor time than the bytes in them.
_MIN_CHUNK_BYTES = 4 * 1024
_MAX_CHUNK_BYTES = 64 * 1024


class LinkPacer:
    """Shares a host's outgoing link among large bodies and short messages.

    Links of small hosts carry 6 to 100 Mbit/s. Sending a body of 60 KiB without
    pauses occupies a link of 10 Mbit/s for 50 ms and delays all other messages.

    Attributes:
        link_rate: The link's capacity in bytes per second; infinite if bodies
            are not paced.
        chunk_bytes: The size of the chunks in which bodies are sent.
        turn: Held by the body that may send its next chunk.
        free_at: Monotonic time in seconds at which the link has sent all chunks
            so far.
    """

    def __init__(self, link_rate: float, clock: Clock) -> None:
        """Creates a pacer for the host's link.

        Args:
            link_rate: The link's capacity in bytes per second; infinite
                disables pacing.
            clock: The source of time.
        """
        self.link_rate = link_rate
        self.chunk_bytes = int(
            min(
                max(link_rate * _CHUNK_SECONDS, _MIN_CHUNK_BYTES),
                _MAX_CHUNK_BYTES,
            )
        )
        self.turn = trio.Lock()
        self.free_at = 0.0
        self._clock = clock
        self._transfers: set[LinkTransfer] = set()

    @contextmanager
    def transfer(
        self, length: int | None, useful_until: float, time_fraction: float
    ) -> Iterator[LinkTransfer]:
        """Adds a body to those that share the link, until the context ends.

        Args:
            length: The body's length in bytes, or None if not known.
            useful_until: Monotonic time in seconds of the request's latency
                target; infinite if it has none.
            time_fraction: Fraction of the time until the latency target that
                the transfer may take.
        """
        transfer = LinkTransfer(
            self, self._clock, length, useful_until, time_fraction
        )
        self._transfers.add(transfer)
        try:
            yield transfer
        finally:
            self._transfers.discard(transfer)

    def get_rate(self, transfer: LinkTransfer) -> float:
        """Returns the present rate of a body in bytes per second.

        Each body gets at least the rate that it needs, and bodies that need
        little get equal rates. If the link can't carry what all of them need,
        each gets the same part of it. Bodies that have missed their latency
        target share what the others do not need.
        """
        now = self._clock.monotonic()
        active = [
            other
            for other in self._transfers
            if other is transfer or other.is_active(now)
        ]
        rates = {
            other: other.get_needed_rate(now)
            for other in active
            if not other.is_late(now)
        }
        total = sum(rates.values())
        late_count = len(active) - len(rates)
        if late_count:
            rate = max(self.link_rate - total, 0.0) / late_count
            rates |= {other: rate for other in active if other.is_late(now)}
        min_rate = self.link_rate * _MIN_SHARED_FRACTION / len(active)
        if total > self.link_rate:
            rate = rates[transfer] * self.link_rate / total
            return max(rate, min_rate)
        level = get_level(rates.values(), self.link_rate * _SHARED_FRACTION)
        level = min(level, self.link_rate * _MAX_BODY_FRACTION)
        return max(rates[transfer], level, min_rate)
