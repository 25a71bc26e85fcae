"""How long ago this node heard of a node that reads the platform's store."""

import hashlib
import math
from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.membership.reader_pulse import ReaderPulse

ELECTED_RANK = 0
# A heartbeat is sent at once if it brings news of a reader that is newer by
# almost the interval at which readers send theirs. Pulses of further readers
# cause no messages.
_RELAY_STEP_SECONDS = 0.45
# Nodes that miss the same reader replace it one after the other, so that the
# first ones keep the others from doing so.
_SPREAD = 0.2


class ReaderContact:
    """Decides whether a node that isn't elected has to read the store.

    News of the store reach a node from a reader over control links. Each reader
    shows by a pulse in its heartbeats that it runs, and the others pass the
    newest pulse on. A node that gets none for too long reads the store itself,
    whatever the reason: its neighbours, the readers or what is between them
    have lost power, or their connections are silent.

    Attributes:
        relayed_at: Monotonic seconds at which the reader gave the pulse that
            was last sent at once.
    """

    def __init__(self, clock: Clock, node_id: str, limit: timedelta) -> None:
        """Creates the record of a node that has no links yet.

        Args:
            clock: The source of time.
            node_id: The id of this node.
            limit: For how long a node may be without a pulse.
        """
        self._clock = clock
        digest = hashlib.blake2b(node_id.encode(), digest_size=4).digest()
        self._own_rank = ELECTED_RANK + 1 + int.from_bytes(digest, "big")
        fraction = digest[0] / 256
        self._limit_seconds = limit.total_seconds() * (1 + _SPREAD * fraction)
        self._rank = ELECTED_RANK
        self._read_at = -math.inf
        self._preferred_at = -math.inf
        self.relayed_at = -math.inf
        self._is_elected = False
        self._is_substitute = False
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Adds a function that is called if a pulse is to be passed on."""
        self._listeners.append(listener)

    def record(self, pulse: ReaderPulse | None) -> None:
        """Records what a neighbour's heartbeat says.

        Args:
            pulse: Its newest pulse, or None if it knows of no reader.
        """
        now = self._clock.monotonic()
        if self._read_at == -math.inf:
            # Counts from the first neighbour on that can pass pulses on.
            self._read_at = now
        if pulse is None or pulse.rank == self._own_rank:
            return
        read_at = now - pulse.age_seconds
        if pulse.rank < self._own_rank:
            self._preferred_at = max(self._preferred_at, read_at)
        if read_at <= self._read_at:
            return
        self._read_at, self._rank = read_at, pulse.rank
        if (
            not self.is_reading()
            and read_at - self.relayed_at >= _RELAY_STEP_SECONDS
        ):
            self._notify(read_at)

    def get_pulse(self) -> ReaderPulse | None:
        """Returns the pulse for a heartbeat, or None if there is none."""
        if self._is_elected:
            return ReaderPulse(ELECTED_RANK, 0.0)
        if self._is_substitute:
            return ReaderPulse(self._own_rank, 0.0)
        age = self.get_age()
        return None if math.isinf(age) else ReaderPulse(self._rank, age)

    def is_relaying(self) -> bool:
        """Returns whether heartbeats follow the pulses of another node."""
        return not (self._is_elected or self.is_lost())

    def is_substitute(self) -> bool:
        """Returns whether this node reads the store without being elected."""
        return self._is_substitute

    def is_reading(self) -> bool:
        """Returns whether this node reads the store."""
        return self._is_elected or self._is_substitute

    def is_lost(self) -> bool:
        """Returns whether no pulse of another node came for too long."""
        return self._is_overdue(self._read_at)

    def get_remaining(self) -> timedelta:
        """Returns after which time without a pulse `is_lost` becomes true."""
        age = self.get_age()
        if math.isinf(age):
            return timedelta(seconds=self._limit_seconds)
        return timedelta(seconds=max(0.0, self._limit_seconds - age))

    def update(self, is_elected: bool) -> bool:
        """Decides before each read whether this node reads the store.

        Args:
            is_elected: Whether it is elected to.

        Returns:
            Whether it substitutes an elected node.
        """
        self._is_elected = is_elected
        # A substitute gives way to elected nodes and to one of lower rank.
        since = self._preferred_at if self._is_substitute else self._read_at
        is_substitute = not is_elected and self._is_overdue(since)
        if is_substitute and not self._is_substitute:
            # The first pulse keeps the neighbours from reading too.
            self._notify(self._clock.monotonic())
        self._is_substitute = is_substitute
        return is_substitute

    def _notify(self, read_at: float) -> None:
        self.relayed_at = read_at
        for listener in self._listeners:
            listener()

    def _is_overdue(self, read_at: float) -> bool:
        age = self._clock.monotonic() - read_at
        return self._read_at > -math.inf and age > self._limit_seconds

    def get_age(self) -> float:
        """Returns the seconds since the newest pulse of another node."""
        return self._clock.monotonic() - self._read_at
