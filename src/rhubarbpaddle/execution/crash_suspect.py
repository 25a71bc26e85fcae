"""A request whose upstream connection broke while it ran."""

from typing import NamedTuple


class CrashSuspect(NamedTuple):
    """Describes a request that may have crashed its upstream.

    Attributes:
        fingerprint: Digest that identifies equal requests.
        incarnation: The upstream's incarnation that ran it.
        lost_at: When the connection broke, in monotonic seconds.
    """

    fingerprint: str
    incarnation: int
    lost_at: float
