"""A route as the configuration states it."""

from datetime import timedelta
from typing import NamedTuple

from rhubarbpaddle.configuration.route_kind import RouteKind
from rhubarbpaddle.configuration.weighted_service import WeightedService


class Route(NamedTuple):
    """Where requests for a host and a path prefix go, and their limits.

    Attributes:
        name: The route's name.
        host: The host that callers name, in lower case.
        path_prefix: The start of the path, from one slash to another.
        kind: How often its requests may run.
        parts: The services that share its requests, at least one.
        timeout: How long a request may be kept waiting at most.
        latency_target: The time within which an answer has its full value.
        priority: The rank of its requests, 0 for the most urgent.
        max_attempts: The instances that one request may be sent to at most.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    parts: tuple[WeightedService, ...]
    timeout: timedelta
    latency_target: timedelta
    priority: int
    max_attempts: int
