"""A configuration that operators published."""

from typing import NamedTuple


class PublishedConfiguration(NamedTuple):
    """What a configuration added, and which keys it contains.

    Attributes:
        published_at: When it was published, in seconds.
        prefix: The path prefix that it added.
        key_numbers: The numbers of the configurations whose keys it contains.
    """

    published_at: float
    prefix: str
    key_numbers: tuple[int, ...]
