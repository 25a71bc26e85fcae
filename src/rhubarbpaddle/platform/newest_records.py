"""The result of reading the newest record of each key."""

from typing import NamedTuple

from rhubarbpaddle.platform.keyed_record import KeyedRecord


class NewestRecords(NamedTuple):
    """The newest record of each key of a topic.

    Attributes:
        records: The records; deleted keys have none.
        end: The end offset of the partition when the read began.
    """

    records: list[KeyedRecord]
    end: int
