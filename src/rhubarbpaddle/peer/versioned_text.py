"""Configuration in the format that nodes exchange."""

from typing import Protocol

from rhubarbpaddle.configuration.state_version import StateVersion


class VersionedText(Protocol):
    """A configuration with its version.

    Attributes:
        state_version: The version, which says whether another one is newer.
        text: The configuration in the format that nodes exchange.
        as_of: The log offset up to which no newer version exists.
    """

    @property
    def state_version(self) -> StateVersion:
        """The version, which says whether another one is newer."""
        ...

    @property
    def text(self) -> str:
        """The configuration in the format that nodes exchange."""
        ...

    @property
    def as_of(self) -> int:
        """The log offset up to which no newer version exists."""
        ...
