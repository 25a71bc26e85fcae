"""What is known of a request that got no answer."""

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request that was not answered may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
