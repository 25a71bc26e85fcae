"""Result of one read request to the platform's log."""

from typing import NamedTuple

from rhubarbpaddle.log.record import Record


class Batch(NamedTuple):
    """Holds consecutive records of a stream.

    Attributes:
        first_offset: The oldest offset that the stream still retains.
        end_offset: The offset of the next append.
        records: The records from the requested offset on.
    """

    first_offset: int
    end_offset: int
    records: tuple[Record, ...]
