"""The result of reading the newest record of each key."""

from typing import NamedTuple

from rhubarbpaddle.platform.keyed_record import KeyedRecord


class NewestRecords(NamedTuple):
    """The newest record of each key of a topic.

    Attributes:
        records: The records; deleted keys have none.
        end: The end offset of the partition when the read began.
        era: How often the store has come back from a copy, as it says.
    """

    records: list[KeyedRecord]
    end: int
    era: int
