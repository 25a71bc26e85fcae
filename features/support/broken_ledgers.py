"""Ledgers with deliberate faults that the claims machine must detect."""

from rhubarbpaddle.execution.claim_ledger import ClaimLedger
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease


class LastClaimWins(ClaimLedger):
    def _claim(self, record: ClaimRecord) -> None:
        self._entries.pop(record.key, None)
        super()._claim(record)


class AnyClaimReleases(ClaimLedger):
    def _release(self, record: ClaimRelease, now_ms: int) -> None:
        self._entries.pop(record.key, None)


class ExpiresEarly(ClaimLedger):
    def expire(self, now_ms: int) -> int:
        return super().expire(now_ms + 1_000_000)
