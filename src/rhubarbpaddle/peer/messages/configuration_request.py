"""Asks a neighbour for its configuration."""

import msgspec


class ConfigurationRequest(
    msgspec.Struct, array_like=True, tag="configuration_request", frozen=True
):
    """Asks for the configuration in force at the receiver.

    Attributes:
        version: The version that the receiver's heartbeat named.
    """

    version: int
