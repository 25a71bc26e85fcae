"""A sign of life on a control link."""

import msgspec


class Heartbeat(msgspec.Struct, array_like=True, tag="heartbeat", frozen=True):
    """What the sender knows, in short.

    Attributes:
        members_digest: The digest of the sender's member table.
        configuration_version: The version in force at the sender, or 0.
    """

    members_digest: int
    configuration_version: int
