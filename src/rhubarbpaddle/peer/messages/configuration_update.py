"""Message that carries a configuration to a neighbour."""

import zlib
from typing import Self

import msgspec

from rhubarbpaddle.configuration.state_version import Position, StateVersion
from rhubarbpaddle.peer.versioned_text import VersionedText

# Valid configurations are far smaller; decompression stops at this length.
_MAX_TEXT_BYTES = 16 * 1024 * 1024


class ConfigurationUpdate(
    msgspec.Struct, array_like=True, tag="configuration", frozen=True
):
    """Carries the configuration in force at the sender.

    Attributes:
        version: The number of the version.
        as_of: The log offset up to which the sender knows of no newer version.
        compressed: The configuration text, compressed with zlib because it is
            repetitive and the links of small hosts are slow.
        era: The era of the version, or None from nodes of earlier releases.
        carried: What the version keeps of earlier eras; see `StateVersion`.
        since: The first era that it follows.
    """

    version: int
    as_of: int
    compressed: bytes
    era: int | None = None
    carried: tuple[Position, ...] = ()
    since: int = 0

    @classmethod
    def from_accepted(cls, accepted: VersionedText) -> Self:
        """Creates the message for a configuration."""
        version = accepted.state_version
        return cls(
            version.number,
            accepted.as_of,
            zlib.compress(accepted.text.encode()),
            version.era,
            version.carried,
            version.since,
        )

    def get_version(self, first_era: int) -> StateVersion:
        """Returns the version of the text.

        Args:
            first_era: The era of senders that know none.
        """
        era = first_era if self.era is None else self.era
        since = first_era if self.era is None else self.since
        return StateVersion(era, self.version, self.carried, since)

    def get_text(self) -> str:
        """Returns the decompressed text.

        Raises:
            ValueError: The data is invalid, or the text is too long.
        """
        decompressor = zlib.decompressobj()
        try:
            content = decompressor.decompress(self.compressed, _MAX_TEXT_BYTES)
        except zlib.error as exc:
            raise ValueError(f"cannot decompress the text: {exc}") from exc
        if not decompressor.eof:
            raise ValueError(f"the text exceeds {_MAX_TEXT_BYTES} bytes")
        return content.decode()
