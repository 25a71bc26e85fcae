"""The newest record of each key of a topic."""

from typing import NamedTuple

from rhubarbpaddle.platform.keyed_record import KeyedRecord


class NewestRecords(NamedTuple):
    """The newest record of each key of a topic.

    Attributes:
        records: The records; keys that were dropped are missing.
        end: The partition's end when the reading began.
    """

    records: list[KeyedRecord]
    end: int
