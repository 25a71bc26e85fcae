"""How well a node knows the configuration."""

from typing import NamedTuple


class ConfigurationState(NamedTuple):
    """What operators see of a node's configuration.

    Attributes:
        version: The version in force, or 0.
        digest: SHA-256 of the text in force, or the empty string.
        age_seconds: Seconds since the log confirmed it; None if never.
        unverified: Whether it comes from a peer and is not yet confirmed.
        gap: Whether the log lost records before this node read them.
        lag: How many records of the log are not yet applied.
    """

    version: int
    digest: str
    age_seconds: float | None
    unverified: bool
    gap: bool
    unapplied_records: int
