"""Metadata of a configuration checkpoint."""

from typing import NamedTuple


class CheckpointMetadata(NamedTuple):
    """Describes a checkpoint without its text.

    Attributes:
        as_of: The last log offset that its writer had replayed.
        version: The configuration version that it contains.
        written_ms: The writer's wall-clock time in milliseconds since the
            Unix epoch, or 0 if the record has none.
    """

    as_of: int
    version: int
    written_ms: int
