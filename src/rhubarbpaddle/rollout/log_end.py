"""The end of a log, on which a write may depend."""

from typing import NamedTuple


class LogEnd(NamedTuple):
    """The place at which the next record is written.

    Attributes:
        era: How often the log has come back from an older copy.
        offset: The offset of the next record.
    """

    era: int
    offset: int
