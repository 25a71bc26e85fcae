"""The state of a node's configuration."""

from typing import NamedTuple


class ConfigurationState(NamedTuple):
    """The configuration version of a node and how current it is.

    Attributes:
        version: The version in force, or 0 if there is none.
        digest: The SHA-256 digest of the text in force in hexadecimal, or the
            empty string.
        age_seconds: Seconds since the log last confirmed the version; None if
            it never did.
        unverified: Whether the configuration comes from a peer and the log has
            not confirmed it yet.
        gap: Whether the log removed records before this node read them.
        unapplied_records: The number of log records not applied yet.
    """

    version: int
    digest: str
    age_seconds: float | None
    unverified: bool
    gap: bool
    unapplied_records: int
