"""The interface through which decisions about requests are logged."""

from typing import Protocol


class EventLog(Protocol):
    """Writes one log line for each event without blocking."""

    def info(self, event: str, **fields: object) -> None:
        """Logs an event of normal operation."""
        ...

    def notice(self, event: str, **fields: object) -> None:
        """Logs an event that explains a failed request."""
        ...
