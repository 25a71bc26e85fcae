"""Which publication is accepted, by replay of the log."""

import hashlib

from rhubarbpaddle.configuration.accepted import AcceptedConfiguration
from rhubarbpaddle.configuration.records import Checkpoint, Publication
from rhubarbpaddle.configuration.text import parse_configuration
from rhubarbpaddle.exceptions import ConfigurationError

EMPTY_VERSION = 0


class ConfigurationHistory:
    """Decides by replay which publication is accepted.

    All readers replay the same records in the same order and so agree. A
    reader without state starts at offset 0 or from a checkpoint that covers
    everything that the log no longer holds.
    """

    def __init__(self) -> None:
        self.accepted: AcceptedConfiguration | None = None
        self.next_offset = 0

    def apply(self, offset: int, record: Publication | Checkpoint) -> bool:
        """Applies one record.

        Args:
            offset: The record's offset in the stream.
            record: The record at this offset.

        Returns:
            Whether the accepted configuration changed.
        """
        if offset < self.next_offset:
            return False
        self.next_offset = offset + 1
        if record["kind"] == "checkpoint":
            return False
        return self._apply_publication(offset, record)

    def _apply_publication(self, offset: int, record: Publication) -> bool:
        version = self.accepted.version if self.accepted else EMPTY_VERSION
        if record["base"] != version:
            return False
        try:
            configuration = parse_configuration(record["text"])
        except ConfigurationError:
            return False
        self.accepted = AcceptedConfiguration(
            version=version + 1,
            digest=hashlib.sha256(record["text"].encode()).hexdigest(),
            text=record["text"],
            as_of=offset,
            configuration=configuration,
        )
        return True
