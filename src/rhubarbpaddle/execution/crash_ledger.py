"""Counts the crashes that each request is suspected of."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.crash_record import CrashRecord
from rhubarbpaddle.execution.crash_update import CrashUpdate
from rhubarbpaddle.execution.crash_update_check import MAX_CRASHES

Listener = Callable[[CrashUpdate], None]

CRASHES_TO_BLOCK = 2
CRASH_LIFETIME = timedelta(minutes=5)
# These limits bound the memory; the oldest entries are deleted first.
_MAX_ENTRIES = 4_096
_MAX_RESPONSES = 1_024


class CrashLedger:
    """Holds crash records by request fingerprint.

    Records expire, and a complete response clears those of its request. The
    listeners receive each update that changes this ledger, whether it was
    recorded here or merged from a peer, and pass it on to other peers.
    """

    def __init__(self, node_id: str, clock: Clock) -> None:
        self._node_id = node_id
        self._clock = clock
        self._entries: OrderedDict[str, CrashUpdate] = OrderedDict()
        self._expiry: dict[str, float] = {}
        self._responses: OrderedDict[str, float] = OrderedDict()
        self._listeners: list[Listener] = []
        self._last_timestamp = 0

    def add_listener(self, listener: Listener) -> None:
        """Registers a listener for each update that changes this ledger."""
        self._listeners.append(listener)

    def record_crash(self, fingerprint: str) -> None:
        """Records that an upstream crashed while it ran a request.

        Args:
            fingerprint: Digest that identifies equal requests.
        """
        timestamp = self._make_timestamp()
        entry = self._get_unexpired(fingerprint)
        crashes = entry.crashes if entry else ()
        self._store(
            CrashUpdate(
                fingerprint,
                entry.sequence if entry else 0,
                (*crashes, CrashRecord(self._node_id, timestamp)),
                timestamp,
            )
        )

    def record_response(self, fingerprint: str) -> None:
        """Records a complete response and clears the request's crash count."""
        expires_at = self._clock.monotonic() + CRASH_LIFETIME.total_seconds()
        self._responses[fingerprint] = expires_at
        self._responses.move_to_end(fingerprint)
        if len(self._responses) > _MAX_RESPONSES:
            self._responses.popitem(last=False)
        entry = self._get_unexpired(fingerprint)
        if entry is not None and entry.crashes:
            self._store(
                CrashUpdate(
                    fingerprint, entry.sequence + 1, (), self._make_timestamp()
                )
            )

    def has_recent_response(self, fingerprint: str) -> bool:
        """Returns whether this node recently recorded a complete response."""
        return self._responses.get(fingerprint, 0.0) > self._clock.monotonic()

    def forget_response(self, fingerprint: str) -> None:
        """Forgets a response, so that the next crash is counted.

        It is not counted if another complete response precedes it.
        """
        self._responses.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str) -> bool:
        """Returns whether requests with this fingerprint are refused."""
        if not self._entries:
            return False
        entry = self._get_unexpired(fingerprint)
        return entry is not None and len(entry.crashes) >= CRASHES_TO_BLOCK

    def get_remaining_block(self, fingerprint: str) -> timedelta:
        """Returns how much longer a fingerprint stays blocked."""
        expires_at = self._expiry.get(fingerprint, 0.0)
        return timedelta(seconds=max(0.0, expires_at - self._clock.monotonic()))

    def merge(self, update: CrashUpdate) -> bool:
        """Merges another node's entry into this ledger.

        Args:
            update: The other node's entry.

        Returns:
            Whether the update changed this ledger.
        """
        if self._get_remaining_lifetime(update) <= 0:
            return False
        entry = self._get_unexpired(update.fingerprint)
        if entry is not None and update.sequence < entry.sequence:
            return False
        if entry is not None and update.sequence == entry.sequence:
            merged_crashes = sorted({*entry.crashes, *update.crashes})
            update = update._replace(
                crashes=tuple(merged_crashes[-MAX_CRASHES:]),
                updated_at=max(entry.updated_at, update.updated_at),
            )
        if update == entry:
            return False
        self._store(update)
        return True

    def get_updates(self) -> list[CrashUpdate]:
        """Returns all unexpired entries, for a newly connected peer."""
        entries = [
            self._get_unexpired(fingerprint)
            for fingerprint in tuple(self._entries)
        ]
        return [entry for entry in entries if entry is not None]

    def _get_unexpired(self, fingerprint: str) -> CrashUpdate | None:
        entry = self._entries.get(fingerprint)
        if entry is None:
            return None
        if self._expiry[fingerprint] <= self._clock.monotonic():
            del self._entries[fingerprint], self._expiry[fingerprint]
            return None
        return entry

    def _store(self, update: CrashUpdate) -> None:
        fingerprint = update.fingerprint
        self._entries[fingerprint] = update
        self._entries.move_to_end(fingerprint)
        self._expiry[fingerprint] = (
            self._clock.monotonic() + self._get_remaining_lifetime(update)
        )
        while len(self._entries) > _MAX_ENTRIES:
            oldest, _ = self._entries.popitem(last=False)
            del self._expiry[oldest]
        for listener in self._listeners:
            listener(update)

    def _get_remaining_lifetime(self, update: CrashUpdate) -> float:
        """Returns the seconds until an update expires by this node's clock.

        The result is limited to the full lifetime, so that another node's clock
        that is ahead does not extend it.
        """
        now = self._clock.now().timestamp()
        lifetime = CRASH_LIFETIME.total_seconds()
        return min(lifetime, update.updated_at / 1_000_000 + lifetime - now)

    def _make_timestamp(self) -> int:
        now = int(self._clock.now().timestamp() * 1_000_000)
        self._last_timestamp = max(now, self._last_timestamp + 1)
        return self._last_timestamp
