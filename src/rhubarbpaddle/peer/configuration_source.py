"""Interface by which control links access the node's configuration."""

from typing import Protocol

from rhubarbpaddle.peer.versioned_text import VersionedText


class ConfigurationSource(Protocol):
    """Provides the configuration in force and accepts newer ones."""

    def get_accepted(self) -> VersionedText | None:
        """Returns the configuration in force, or None if there is none."""
        ...

    def adopt_text(self, version: int, text: str, as_of: int) -> bool:
        """Puts a peer's configuration in force if it is newer.

        Args:
            version: The version number; a higher one is newer.
            text: The configuration in the format that nodes exchange.
            as_of: The log offset up to which no newer version exists.

        Returns:
            Whether the configuration is now in force.

        Raises:
            ConfigurationError: The text is invalid.
        """
        ...
