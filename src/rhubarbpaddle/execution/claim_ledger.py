"""The state of all claims of a partition, rebuilt by replaying the log."""

from itertools import islice

from rhubarbpaddle.execution.claim_entry import ClaimEntry
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease

LogRecord = ClaimRecord | ClaimOutcome | ClaimRelease

# How long a release that precedes its claim in the log is remembered. This must
# exceed the delay of an append that the platform executes late.
_EARLY_RELEASE_LIFETIME_MS = 600_000
_MAX_SWEPT_ENTRIES = 1_000
_MAX_UNEXPIRED_ENTRIES = 32


class ClaimLedger:
    """Applies log records in order, so that equal logs give equal ledgers.

    Expiry does not change which claim holds a key, because keys older than the
    claim window are refused before the ledger is consulted.
    """

    def __init__(self) -> None:
        self._entries: dict[bytes, bytes] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, record: LogRecord, offset: int, now_ms: int) -> None:
        """Applies one log record.

        Args:
            record: The record.
            offset: The offset of the log record that contains it.
            now_ms: The current time in ms since the epoch.
        """
        match record:
            case ClaimRecord():
                self._claim(record)
            case ClaimOutcome():
                self._complete(record, offset)
            case ClaimRelease():
                self._release(record, now_ms)

    def lookup(self, key: bytes) -> ClaimEntry | None:
        """Returns a key's entry, or None; a released key can be claimed."""
        packed = self._entries.get(key)
        return None if packed is None else ClaimEntry.unpack(packed)

    def expire(self, now_ms: int) -> int:
        """Deletes the oldest expired entries and returns their number.

        Entries are nearly in order of expiry, so that the search ends after 32
        unexpired entries, and after 1,000 entries in any case.
        """
        expired = []
        unexpired = 0
        for key, packed in islice(self._entries.items(), _MAX_SWEPT_ENTRIES):
            if ClaimEntry.unpack(packed).expires_ms <= now_ms:
                expired.append(key)
                continue
            unexpired += 1
            if unexpired >= _MAX_UNEXPIRED_ENTRIES:
                break
        for key in expired:
            del self._entries[key]
        return len(expired)

    def _claim(self, record: ClaimRecord) -> None:
        entry = self.lookup(record.key)
        if entry is not None:
            # Appending a released claim again does not reactivate it.
            if not entry.released or entry.claim_id == record.claim_id:
                return
            del self._entries[record.key]
        self._entries[record.key] = ClaimEntry(
            record.claim_id,
            record.fingerprint,
            record.deadline_ms,
            record.expires_ms,
        ).pack()

    def _complete(self, record: ClaimOutcome, offset: int) -> None:
        entry = self.lookup(record.key)
        if (
            entry is None
            or entry.claim_id != record.claim_id
            or entry.released
            or entry.outcome_offset >= 0
        ):
            return
        self._entries[record.key] = entry._replace(outcome_offset=offset).pack()

    def _release(self, record: ClaimRelease, now_ms: int) -> None:
        entry = self.lookup(record.key)
        if entry is None:
            entry = ClaimEntry(
                record.claim_id,
                bytes(16),
                0,
                now_ms + _EARLY_RELEASE_LIFETIME_MS,
            )
        if entry.claim_id == record.claim_id and entry.outcome_offset < 0:
            self._entries[record.key] = entry._replace(released=True).pack()
