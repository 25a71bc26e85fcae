"""The accepted configuration, from node to node."""

import zlib
from typing import Self

import msgspec

from rhubarbpaddle.peer.versioned_text import VersionedText

# A checked text is far below this; a longer one is not expanded.
_MAX_TEXT_BYTES = 16 * 1024 * 1024


class ConfigurationUpdate(
    msgspec.Struct, array_like=True, tag="configuration", frozen=True
):
    """The configuration in force at the sender.

    Attributes:
        version: Counts accepted publications.
        as_of: The log offset through which the sender knows it to be newest.
        compressed: The operators' text, compressed with zlib: texts repeat
            themselves and cross the links of small hosts.
    """

    version: int
    as_of: int
    compressed: bytes

    @classmethod
    def from_accepted(cls, accepted: VersionedText) -> Self:
        """Returns the message that carries a configuration."""
        return cls(
            accepted.version,
            accepted.as_of,
            zlib.compress(accepted.text.encode()),
        )

    def get_text(self) -> str:
        """Returns the operators' text.

        Raises:
            ValueError: It can't be expanded, or is too long.
        """
        expander = zlib.decompressobj()
        try:
            content = expander.decompress(self.compressed, _MAX_TEXT_BYTES)
        except zlib.error as exc:
            raise ValueError(f"the text can't be expanded: {exc}") from exc
        if not expander.eof:
            raise ValueError(f"the text exceeds {_MAX_TEXT_BYTES} bytes")
        return content.decode()
