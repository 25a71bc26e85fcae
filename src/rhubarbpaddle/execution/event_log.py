"""Where decisions about requests are logged."""

from typing import Protocol


class EventLog(Protocol):
    """Takes one line for each event; never waits."""

    def info(self, event: str, **fields: object) -> None:
        """Logs an event of normal operation."""
        ...

    def notice(self, event: str, **fields: object) -> None:
        """Logs an event that explains a failed request."""
        ...
