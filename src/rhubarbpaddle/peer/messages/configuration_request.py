"""Message that requests a neighbour's configuration."""

import msgspec


class ConfigurationRequest(
    msgspec.Struct, array_like=True, tag="configuration_request", frozen=True
):
    """Requests the configuration in force at the receiver.

    Attributes:
        version: The version from the receiver's last heartbeat.
    """

    version: int
