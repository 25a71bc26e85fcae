"""Whether a request that got no response may have run."""

from enum import StrEnum


class Outcome(StrEnum):
    """What is known about a request that got no response from an upstream."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
