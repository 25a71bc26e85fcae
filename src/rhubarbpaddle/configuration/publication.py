"""A text that an operator has published."""

from typing import Literal, TypedDict


class Publication(TypedDict):
    """An operator's attempt to replace the configuration.

    It takes effect if `base` is the version accepted at its place in the log.
    """

    kind: Literal["publication"]
    id: str
    base: int
    text: str
    publisher: str
