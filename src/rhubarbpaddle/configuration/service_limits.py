"""Limits for the instances of a service."""

from datetime import timedelta
from typing import NamedTuple


class ServiceLimits(NamedTuple):
    """Limits that apply to each instance of a service.

    Attributes:
        service: The service's name.
        health_path: The path of the instances' health check.
        connections: The number of connections that one instance accepts, from
            all callers together.
        cold_start: How long an instance stays cold after it has started.
        cold_rate: The requests per second that a cold instance can sustain.
    """

    service: str
    health_path: str
    connections: int
    cold_start: timedelta
    cold_rate: float
