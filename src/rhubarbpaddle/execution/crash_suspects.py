"""Requests whose connection broke while the upstream ran them."""

from typing import NamedTuple

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.crash_ledger import CrashLedger

# A broken connection and a crash seen later than this are not related.
_RELATED_SECONDS = 10.0


class _Suspect(NamedTuple):
    fingerprint: str
    incarnation: int
    lost_at: float


class CrashSuspects:
    """Holds suspects until the upstream is known to have crashed.

    Every request in flight loses its connection in a crash. Those that this
    node has seen answered lately are not struck if there is any other
    suspect, or a popular request would be blocked along with the cause.
    """

    def __init__(self, ledger: CrashLedger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._suspects: list[_Suspect] = []
        self._explained: int | None = None

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
            if now - suspect.lost_at < _RELATED_SECONDS
        ]
        self._suspects.append(_Suspect(fingerprint, incarnation, now))

    def confirm(self, incarnation: int) -> None:
        """Strikes the suspects of an incarnation that is gone."""
        now = self._clock.monotonic()
        names = {
            suspect.fingerprint
            for suspect in self._suspects
            if suspect.incarnation == incarnation
            and now - suspect.lost_at < _RELATED_SECONDS
        }
        self._suspects = [
            suspect
            for suspect in self._suspects
            if suspect.incarnation != incarnation
        ]
        unproven = {n for n in names if not self._ledger.has_answered(n)}
        if unproven:
            self._explained = incarnation
        elif self._explained == incarnation:
            return
        for name in sorted(unproven or names):
            self._ledger.strike(name)
