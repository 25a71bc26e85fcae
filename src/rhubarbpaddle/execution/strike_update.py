"""What one node tells others of a request that crashes upstreams."""

from typing import NamedTuple

from rhubarbpaddle.execution.crash_record import CrashRecord


class StrikeUpdate(NamedTuple):
    """The strikes against one fingerprint.

    Updates of the same fingerprint merge in any order: the higher sequence
    number wins, and at equal numbers the strikes are united.

    Attributes:
        fingerprint: Names the request.
        sequence: Raised by one each time a complete answer clears the strikes.
        strikes: The strikes since then, in ascending order.
        at: Microseconds since the epoch of the newest strike or clearing.
    """

    fingerprint: str
    sequence: int
    strikes: tuple[CrashRecord, ...]
    at: int
