"""Requests whose upstream connection broke while they ran."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.crash_suspect import CrashSuspect

# A broken connection is not attributed to a crash detected later than this.
_MAX_CRASH_DELAY_SECONDS = 10.0


class CrashSuspects:
    """Holds suspected requests until their upstream is known to have crashed.

    A crash breaks the connections of all requests in flight, and most crashes
    have other causes. For a request that has recently completed on this node, a
    crash is therefore recorded only if the request does not complete again
    before the next crash. Otherwise a frequent request would be blocked after
    two unrelated crashes.
    """

    def __init__(self, ledger: CrashLedger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._suspects: list[CrashSuspect] = []
        self._attributed_incarnation: int | None = None

    def add(self, fingerprint: str, incarnation: int) -> None:
        """Adds a request whose connection broke.

        Args:
            fingerprint: Digest that identifies equal requests.
            incarnation: The upstream's incarnation that ran it.
        """
        now = self._clock.monotonic()
        self._suspects = [
            suspect
            for suspect in self._suspects
            if now - suspect.lost_at < _MAX_CRASH_DELAY_SECONDS
        ]
        self._suspects.append(CrashSuspect(fingerprint, incarnation, now))

    def confirm_crash(self, incarnation: int) -> None:
        """Records a crash for the suspects of an incarnation that is gone."""
        now = self._clock.monotonic()
        fingerprints = {
            suspect.fingerprint
            for suspect in self._suspects
            if suspect.incarnation == incarnation
            and now - suspect.lost_at < _MAX_CRASH_DELAY_SECONDS
        }
        self._suspects = [
            suspect
            for suspect in self._suspects
            if suspect.incarnation != incarnation
        ]
        without_response = {
            fingerprint
            for fingerprint in fingerprints
            if not self._ledger.has_recent_response(fingerprint)
        }
        for fingerprint in sorted(without_response):
            self._ledger.record_crash(fingerprint)
        if without_response:
            self._attributed_incarnation = incarnation
        elif self._attributed_incarnation != incarnation:
            for fingerprint in fingerprints:
                self._ledger.forget_response(fingerprint)
