"""Requests whose connection broke while the upstream ran them."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.crash_suspect import CrashSuspect

# A broken connection and a crash seen later than this are not related.
_MAX_CRASH_DELAY_SECONDS = 10.0


class CrashSuspects:
    """Holds suspects until the upstream is known to have crashed.

    Every request in flight loses its connection in a crash, and most crashes
    have other causes. A request that this node has seen answered lately is
    struck only if it is not answered before the next crash; otherwise a popular
    one would be blocked after two crashes that it has nothing to do with.
    """

    def __init__(self, ledger: CrashLedger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._suspects: list[CrashSuspect] = []
        self._last_attributed: int | None = None

    def add(self, fingerprint: str, incarnation: int) -> None:
        """Adds a request whose connection broke.

        Args:
            fingerprint: Names the request.
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
        """Strikes the suspects of an incarnation that is gone."""
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
        without_response = {n for n in fingerprints if not self._ledger.has_recent_response(n)}
        for fingerprint in sorted(without_response):
            self._ledger.record_crash(fingerprint)
        if without_response:
            self._last_attributed = incarnation
        elif self._last_attributed != incarnation:
            for fingerprint in fingerprints:
                self._ledger.forget_response(fingerprint)
