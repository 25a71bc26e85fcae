"""Record of the platform's log."""

from typing import NamedTuple


class Record(NamedTuple):
    """Holds one record of a stream.

    Attributes:
        offset: The position in the stream, starting at 0.
        payload: The content.
    """

    offset: int
    payload: bytes
