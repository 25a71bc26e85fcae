"""A publication of an operator."""

from typing import NamedTuple


class PublishedText(NamedTuple):
    """When a text was published, on which base, and what it withdraws."""

    time: float
    base: int
    out_of_service: frozenset[str]
