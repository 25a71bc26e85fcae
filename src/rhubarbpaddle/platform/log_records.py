"""The result of reading a topic from an offset on."""

from typing import NamedTuple

from rhubarbpaddle.platform.keyed_record import KeyedRecord


class LogRecords(NamedTuple):
    """Records that follow each other.

    Attributes:
        records: The records.
        end: The offset after the last of them.
        era: How often the store has come back from a copy, as it says.
    """

    records: list[KeyedRecord]
    end: int
    era: int
