"""The configuration, as control links see it."""

from typing import Protocol

from rhubarbpaddle.peer.versioned_text import VersionedText


class ConfigurationSource(Protocol):
    """Holds the configuration in force and takes newer ones."""

    def get_accepted(self) -> VersionedText | None:
        """Returns the configuration in force."""
        ...

    def adopt_text(self, version: int, text: str, as_of: int) -> bool:
        """Takes a configuration from a peer if it is newer.

        Args:
            version: Orders configurations; higher is newer.
            text: The configuration as it travels between nodes.
            as_of: The log offset through which it is known to be the newest.

        Returns:
            Whether it is now in force.

        Raises:
            ConfigurationError: The text is invalid.
        """
        ...
