"""Whether somebody still waits for the answer to a request."""

from typing import Protocol


class CallerPresence(Protocol):
    """The far side of a request: a caller, or the gateway that sent a call."""

    def has_left(self) -> bool:
        """Returns whether its close has arrived."""
        ...
