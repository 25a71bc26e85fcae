"""The load that an instance reports about itself."""

from typing import NamedTuple


class InstanceReading(NamedTuple):
    """An instance's report of its load, from a response or a health check.

    Attributes:
        instance: The instance's id, or None if it was not reported.
        running: Requests that the instance runs.
        queued: Requests in the instance's own queue.
        slots: Requests that the instance can run concurrently.
        slowdown: The slowdown factor: the current duration of work as a
            multiple of the usual duration.
        cold_seconds: How long the instance stays cold, or None if it was not
            reported.
        healthy: Whether the instance reports that it accepts requests; always
            true in a response to a request.
        has_slowdown: Whether the slowdown factor was reported; otherwise it is
            1.
    """

    instance: str | None
    running: int
    queued: int
    slots: int
    slowdown: float
    cold_seconds: float | None
    healthy: bool = True
    has_slowdown: bool = True
