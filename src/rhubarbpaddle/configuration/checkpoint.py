"""A record that repeats the configuration in force."""

from typing import Literal, NotRequired, TypedDict


class Checkpoint(TypedDict):
    """The accepted configuration as of an offset, for readers without state.

    `as_of` is the offset through which the writer had replayed the stream.
    `written_ms` is the writer's wall clock in milliseconds since the epoch.
    """

    kind: Literal["checkpoint"]
    version: int
    text: str
    as_of: int
    written_ms: NotRequired[int]
