"""Heartbeat message of a control link."""

import msgspec


class Heartbeat(msgspec.Struct, array_like=True, tag="heartbeat", frozen=True):
    """Shows that the sender is alive and summarises its state.

    Attributes:
        members_digest: The digest of the sender's member table.
        configuration_version: The version in force at the sender, or 0 if it
            has no configuration.
    """

    members_digest: int
    configuration_version: int
