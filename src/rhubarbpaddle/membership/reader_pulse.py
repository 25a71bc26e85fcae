"""The sign that a node reads the platform's store."""

from typing import NamedTuple


class ReaderPulse(NamedTuple):
    """The newest sign of a reader that a node knows.

    Attributes:
        rank: 0 for elected readers. A higher number names a node that
            substitutes them.
        age_seconds: How long ago the reader gave the sign.
    """

    rank: int
    age_seconds: float
