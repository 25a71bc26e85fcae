"""The configuration, as control links see it."""

from typing import Protocol

from rhubarbpaddle.configuration import AcceptedConfiguration


class ConfigurationSource(Protocol):
    """Holds the configuration in force and takes newer ones."""

    def get_accepted(self) -> AcceptedConfiguration | None:
        """Returns the configuration in force."""
        ...

    def adopt(self, accepted: AcceptedConfiguration) -> bool:
        """Takes a configuration from a peer if it is newer.

        Returns:
            Whether it is now in force.
        """
        ...
