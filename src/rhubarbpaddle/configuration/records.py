"""Records of the log's `configuration` stream."""

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


class Checkpoint(TypedDict):
    """The accepted configuration as of an offset, for readers without state.

    `as_of` is the offset through which the writer had replayed the stream.
    """

    kind: Literal["checkpoint"]
    version: int
    text: str
    as_of: int
