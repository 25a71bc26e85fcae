"""A request whose connection broke while the upstream ran it."""

from typing import NamedTuple


class CrashSuspect(NamedTuple):
    """A request that may have caused a crash.

    Attributes:
        fingerprint: Names the request.
        incarnation: The upstream's incarnation that ran it.
        lost_at: Monotonic seconds when the connection broke.
    """

    fingerprint: str
    incarnation: int
    lost_at: float
