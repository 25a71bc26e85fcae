"""A record that repeats the configuration in force."""

from typing import Literal, NotRequired, TypedDict


class Checkpoint(TypedDict):
    """A snapshot of the accepted configuration, for readers without state.

    `as_of` is the last offset that the writer had replayed. `written_ms` is the
    writer's wall-clock time in milliseconds since the Unix epoch.
    """

    kind: Literal["checkpoint"]
    version: int
    text: str
    as_of: int
    written_ms: NotRequired[int]
