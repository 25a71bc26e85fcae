"""Which requests are suspected of crashing upstreams."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.crash_record import CrashRecord
from rhubarbpaddle.execution.strike_update import StrikeUpdate

Listener = Callable[[StrikeUpdate], None]

CRASHES_TO_BLOCK = 2
CRASH_LIFETIME = timedelta(minutes=5)
# Bounds the memory; the oldest entries go first.
_MAX_ENTRIES = 4_096
_MAX_RESPONSES = 1_024


class CrashLedger:
    """Strikes by fingerprint; they expire, and a complete answer clears them.

    The listeners get each update that is new here, whether it arose here or
    was merged, and pass it on to peers.
    """

    def __init__(self, node_id: str, clock: Clock) -> None:
        self._node_id = node_id
        self._clock = clock
        self._entries: OrderedDict[str, StrikeUpdate] = OrderedDict()
        self._expiry: dict[str, float] = {}
        self._responses: OrderedDict[str, float] = OrderedDict()
        self._listeners: list[Listener] = []
        self._last_at = 0

    def add_listener(self, listener: Listener) -> None:
        """Calls the listener with each update that is new."""
        self._listeners.append(listener)

    def record_crash(self, fingerprint: str) -> None:
        """Records that an upstream crashed while it ran this request."""
        at = self._make_timestamp()
        held = self._get_unexpired(fingerprint)
        strikes = held.strikes if held else ()
        self._store(
            StrikeUpdate(
                fingerprint,
                held.sequence if held else 0,
                (*strikes, CrashRecord(self._node_id, at)),
                at,
            )
        )

    def record_response(self, fingerprint: str) -> None:
        """Records a complete answer, which clears the request's strikes."""
        expires = self._clock.monotonic() + CRASH_LIFETIME.total_seconds()
        self._responses[fingerprint] = expires
        self._responses.move_to_end(fingerprint)
        if len(self._responses) > _MAX_RESPONSES:
            self._responses.popitem(last=False)
        held = self._get_unexpired(fingerprint)
        if held is not None and held.strikes:
            self._store(
                StrikeUpdate(
                    fingerprint, held.sequence + 1, (), self._make_timestamp()
                )
            )

    def has_recent_response(self, fingerprint: str) -> bool:
        """Returns whether this node saw a complete answer lately."""
        return self._responses.get(fingerprint, 0.0) > self._clock.monotonic()

    def forget_response(self, fingerprint: str) -> None:
        """Makes the next crash count unless an answer comes before it."""
        self._responses.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str) -> bool:
        """Returns whether requests with this fingerprint must not run."""
        if not self._entries:
            return False
        held = self._get_unexpired(fingerprint)
        return held is not None and len(held.strikes) >= CRASHES_TO_BLOCK

    def get_remaining_block(self, fingerprint: str) -> timedelta:
        """Returns how long a blocked fingerprint stays so."""
        expires = self._expiry.get(fingerprint, 0.0)
        return timedelta(seconds=max(0.0, expires - self._clock.monotonic()))

    def merge(self, update: StrikeUpdate) -> bool:
        """Takes over what another node knows.

        Args:
            update: The other node's entry.

        Returns:
            Whether anything was new here.
        """
        if self._get_remaining_lifetime(update) <= 0:
            return False
        held = self._get_unexpired(update.fingerprint)
        if held is not None and update.sequence < held.sequence:
            return False
        if held is not None and update.sequence == held.sequence:
            united = tuple(sorted({*held.strikes, *update.strikes}))
            update = update._replace(strikes=united, at=max(held.at, update.at))
        if update == held:
            return False
        self._store(update)
        return True

    def get_updates(self) -> list[StrikeUpdate]:
        """Returns all entries, for a peer that has just connected."""
        held = [self._get_unexpired(fingerprint) for fingerprint in tuple(self._entries)]
        return [update for update in held if update is not None]

    def _get_unexpired(self, fingerprint: str) -> StrikeUpdate | None:
        held = self._entries.get(fingerprint)
        if held is None:
            return None
        if self._expiry[fingerprint] <= self._clock.monotonic():
            del self._entries[fingerprint], self._expiry[fingerprint]
            return None
        return held

    def _store(self, update: StrikeUpdate) -> None:
        name = update.fingerprint
        self._entries[name] = update
        self._entries.move_to_end(name)
        self._expiry[name] = self._clock.monotonic() + self._get_remaining_lifetime(update)
        while len(self._entries) > _MAX_ENTRIES:
            oldest, _ = self._entries.popitem(last=False)
            del self._expiry[oldest]
        for listener in self._listeners:
            listener(update)

    def _get_remaining_lifetime(self, update: StrikeUpdate) -> float:
        """Returns the seconds until an update expires by this node's clock.

        A clock that runs ahead elsewhere does not prolong the life.
        """
        now = self._clock.now().timestamp()
        lifetime = CRASH_LIFETIME.total_seconds()
        return min(lifetime, update.at / 1_000_000 + lifetime - now)

    def _make_timestamp(self) -> int:
        now = int(self._clock.now().timestamp() * 1_000_000)
        self._last_at = max(now, self._last_at + 1)
        return self._last_at
