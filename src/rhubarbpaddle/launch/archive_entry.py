"""A module in a module archive."""

from typing import NamedTuple


class ArchiveEntry(NamedTuple):
    """Where a module's code is, and what its import needs.

    Attributes:
        is_package: Whether it is a package.
        origin: The path of its source file.
        offset: Position of its marshalled code, in bytes after the index.
        size: Length of its marshalled code, in bytes.
    """

    is_package: bool
    origin: str
    offset: int
    size: int
