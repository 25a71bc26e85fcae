"""A record of the platform's log."""

from typing import NamedTuple


class Record(NamedTuple):
    """One record of a stream.

    Attributes:
        offset: Its place in the stream, from 0.
        payload: Its bytes.
    """

    offset: int
    payload: bytes
