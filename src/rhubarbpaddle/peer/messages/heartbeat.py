"""Heartbeat message of a control link."""

import msgspec

from rhubarbpaddle.configuration.state_version import Position, StateVersion


class Heartbeat(msgspec.Struct, array_like=True, tag="heartbeat", frozen=True):
    """Shows that the sender is alive and summarises its state.

    Attributes:
        members_digest: The digest of the sender's member table.
        configuration_version: The number of the version in force at the sender,
            or 0 if it has no configuration.
        configuration_age_ms: How long ago that version was known to be the
            newest, or None if the sender doesn't know or nobody asks for it.
        sent_ms: Monotonic milliseconds of the sender if it sends an age, so
            that the receiver can add the time in transit.
        era: The era of the version, or None from nodes of earlier releases.
        carried: What the version keeps of earlier eras; see `StateVersion`.
        since: The first era that the version follows; see `StateVersion`.
        reader_rank: The rank of the newest pulse of a node that reads the
            platform's store, or None if the sender knows of none.
        reader_age_ms: How long ago that node gave it.
    """

    members_digest: int
    configuration_version: int
    configuration_age_ms: int | None = None
    sent_ms: int | None = None
    era: int | None = None
    carried: tuple[Position, ...] = ()
    since: int = 0
    reader_rank: int | None = None
    reader_age_ms: int = 0

    def get_version(self, first_era: int) -> StateVersion:
        """Returns the version in force at the sender.

        Args:
            first_era: The era of senders that know none.
        """
        era = first_era if self.era is None else self.era
        since = first_era if self.era is None else self.since
        return StateVersion(
            era, self.configuration_version, self.carried, since
        )
