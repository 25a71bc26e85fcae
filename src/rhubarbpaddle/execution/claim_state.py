"""How far a held claim has got."""

from enum import StrEnum


class ClaimState(StrEnum):
    """What is known of the request that holds a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
