"""Interface by which control links access the node's configuration."""

from typing import Protocol

from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.peer.versioned_text import VersionedText


class ConfigurationSource(Protocol):
    """Provides the configuration in force and accepts newer ones."""

    def get_accepted(self) -> VersionedText | None:
        """Returns the configuration in force, or None if there is none."""
        ...

    def get_first_era(self) -> int:
        """Returns the first era that this node has seen.

        It is taken for that of neighbours of earlier releases, which know none.
        """
        ...

    def adopt_text(self, version: StateVersion, text: str, as_of: int) -> bool:
        """Puts a peer's configuration in force if it is newer.

        Args:
            version: The version of the configuration.
            text: The configuration in the format that nodes exchange.
            as_of: The log offset up to which no newer version exists.

        Returns:
            Whether what is in force has changed.

        Raises:
            ConfigurationError: The text is invalid.
        """
        ...
