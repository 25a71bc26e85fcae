"""Records read from the platform's log in one request."""

from typing import NamedTuple

from rhubarbpaddle.log.record import Record


class Batch(NamedTuple):
    """Records of a stream, in order.

    Attributes:
        first_offset: The oldest offset that the log still holds.
        end_offset: The offset that the next append will get.
        records: The records from the requested offset on.
    """

    first_offset: int
    end_offset: int
    records: tuple[Record, ...]
