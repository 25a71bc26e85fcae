"""Heartbeat message of a control link."""

import msgspec


class Heartbeat(msgspec.Struct, array_like=True, tag="heartbeat", frozen=True):
    """Shows that the sender is alive and summarises its state.

    Attributes:
        members_digest: The digest of the sender's member table.
        configuration_version: The version in force at the sender, or 0 if it
            has no configuration.
        configuration_age_ms: How long ago that version was known to be the
            newest, or None if the sender doesn't know or nobody asks for it.
        sent_ms: Monotonic milliseconds of the sender if it sends an age, so
            that the receiver can add the time in transit.
    """

    members_digest: int
    configuration_version: int
    configuration_age_ms: int | None = None
    sent_ms: int | None = None
