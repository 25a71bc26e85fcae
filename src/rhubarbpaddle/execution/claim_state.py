"""The state of a claim that holds a key."""

from enum import StrEnum


class ClaimState(StrEnum):
    """The progress of the request whose claim holds a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
