"""What the instances of a service can bear."""

from datetime import timedelta
from typing import NamedTuple


class ServiceLimits(NamedTuple):
    """Limits that hold for each instance of a service.

    Attributes:
        service: The service's name.
        health_path: The path of the instances' health check.
        connections: Connections that one instance accepts from all callers.
        cold_start: How long an instance stays cold after it has started.
        cold_rate: Requests per second that a cold instance can bear.
    """

    service: str
    health_path: str
    connections: int
    cold_start: timedelta
    cold_rate: float
