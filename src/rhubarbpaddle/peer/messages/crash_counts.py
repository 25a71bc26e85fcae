"""Message with the crash counts of requests."""

import msgspec

from rhubarbpaddle.execution.crash_update import CrashUpdate


class CrashCounts(msgspec.Struct, array_like=True, tag="strikes", frozen=True):
    """Carries crash counts that have increased or were cleared.

    The crash count of a request is the number of upstream crashes that it is
    suspected of.

    Attributes:
        updates: The latest state of each request fingerprint.
    """

    updates: tuple[CrashUpdate, ...]
