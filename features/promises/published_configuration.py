"""A configuration that an operator published."""

from typing import NamedTuple


class PublishedConfiguration(NamedTuple):
    """Records a publication that a run appended to the log.

    Attributes:
        time: When it was appended, in seconds of virtual time.
        base: The configuration version that it replaces.
        out_of_service: The availability zones that it withdraws.
    """

    time: float
    base: int
    out_of_service: frozenset[str]
