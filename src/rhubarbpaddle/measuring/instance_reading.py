"""What an instance says of itself at one moment."""

from typing import NamedTuple


class InstanceReading(NamedTuple):
    """An instance's own account, from an answer or a health check.

    Attributes:
        instance: The instance's id, or None if it was not said.
        running: Requests that it runs.
        waiting: Requests that wait in it.
        slots: Requests that it can run at once.
        pace: How long work takes at this moment, as a multiple of the usual.
        cold_seconds: How long it stays cold, or None if it was not said.
        healthy: Whether it says that it takes work; an answer to a request
            says nothing else.
    """

    instance: str | None
    running: int
    waiting: int
    slots: int
    pace: float
    cold_seconds: float | None
    healthy: bool = True
