"""Detects whether the sender of a request has disconnected."""

from typing import Protocol


class CallerPresence(Protocol):
    """Represents the sender of a request: a caller, or a gateway node."""

    def has_disconnected(self) -> bool:
        """Returns whether the sender has closed its connection."""
        ...
