"""A record that publishes a new configuration."""

from typing import Literal, TypedDict


class Publication(TypedDict):
    """A request to replace the configuration, as a compare-and-swap.

    It takes effect only if `base` is the version in force at its log offset.
    """

    kind: Literal["publication"]
    id: str
    base: int
    text: str
    publisher: str
