"""The update that informs peers of the crashes of one request."""

from typing import NamedTuple

from rhubarbpaddle.execution.crash_record import CrashRecord


class CrashUpdate(NamedTuple):
    """Holds the crash records of one request fingerprint.

    Updates of the same fingerprint merge in any order: the higher sequence
    number wins, and equal sequence numbers give the union of the records.

    Attributes:
        fingerprint: Digest that identifies equal requests.
        sequence: Incremented when a complete response clears the records.
        crashes: The crash records since then, in ascending order.
        updated_at: When the newest record was added or the records were
            cleared, in microseconds since the epoch.
    """

    fingerprint: str
    sequence: int
    crashes: tuple[CrashRecord, ...]
    updated_at: int
