"""A configuration as it travels between nodes."""

from typing import Protocol


class VersionedText(Protocol):
    """A text and its place in the order of all texts.

    Attributes:
        version: Orders configurations; higher is newer.
        text: The configuration in a form that peers can read.
        as_of: The log offset through which it is known to be the newest.
    """

    @property
    def version(self) -> int:
        """Orders configurations; higher is newer."""
        ...

    @property
    def text(self) -> str:
        """The configuration in a form that peers can read."""
        ...

    @property
    def as_of(self) -> int:
        """The log offset through which it is known to be the newest."""
        ...
