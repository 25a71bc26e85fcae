"""Ledgers with deliberate faults, to show that the machine finds them."""

from rhubarbpaddle.execution.claim_ledger import ClaimLedger
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease


class LastClaimWins(ClaimLedger):
    def _claim(self, record: ClaimRecord) -> None:
        self._entries.pop(record.key, None)
        super()._claim(record)


class AnyoneReleases(ClaimLedger):
    def _release(self, record: ClaimRelease, now_ms: int) -> None:
        self._entries.pop(record.key, None)


class ForgetsAtOnce(ClaimLedger):
    def expire(self, now_ms: int) -> int:
        return super().expire(now_ms + 1_000_000)
