"""The state of a claim that holds a key."""

from enum import StrEnum


class ClaimState(StrEnum):
    """States the progress of the request that holds a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
