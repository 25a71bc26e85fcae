"""Configuration in the format that nodes exchange."""

from typing import Protocol


class VersionedText(Protocol):
    """A configuration with its version.

    Attributes:
        version: The version number; a higher one is newer.
        text: The configuration in the format that nodes exchange.
        as_of: The log offset up to which no newer version exists.
    """

    @property
    def version(self) -> int:
        """The version number; a higher one is newer."""
        ...

    @property
    def text(self) -> str:
        """The configuration in the format that nodes exchange."""
        ...

    @property
    def as_of(self) -> int:
        """The log offset up to which no newer version exists."""
        ...
