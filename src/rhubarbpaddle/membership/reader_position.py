"""The place of a node among the nodes that read the platform's store."""

from typing import NamedTuple


class ReaderPosition(NamedTuple):
    """The place of one reader.

    Attributes:
        rank: The number of the reader, from 0.
        reader_count: The number of readers.
    """

    rank: int
    reader_count: int
