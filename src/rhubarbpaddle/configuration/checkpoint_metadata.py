"""Where the newest checkpoint is."""

from typing import NamedTuple


class CheckpointMetadata(NamedTuple):
    """The newest checkpoint that a reader has seen.

    Attributes:
        as_of: The offset through which its writer had replayed.
        version: The version that it holds.
        written_ms: Its writer's wall clock in milliseconds since the epoch,
            or 0 if the record has none.
    """

    as_of: int
    version: int
    written_ms: int
