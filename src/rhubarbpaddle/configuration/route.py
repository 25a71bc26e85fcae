"""A route of the configuration."""

from datetime import timedelta
from typing import NamedTuple

from rhubarbpaddle.configuration.route_kind import RouteKind
from rhubarbpaddle.configuration.weighted_service import WeightedService


class Route(NamedTuple):
    """Maps requests for a host and a path prefix to services, with limits.

    Attributes:
        name: The route's name.
        host: The host name that callers request, in lower case.
        path_prefix: The path prefix; starts and ends with a slash.
        kind: Whether its requests may be repeated.
        destinations: The services that its requests are split between, with
            their weights; at least one.
        timeout: The longest time that a request may wait for its response.
        latency_target: The time within which a response has its full value.
        priority: The priority of its requests, 0 for the most urgent.
        max_attempts: The largest number of instances that one request may be
            sent to.
        public: Whether its requests need no key of an organisation.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    destinations: tuple[WeightedService, ...]
    timeout: timedelta
    latency_target: timedelta
    priority: int
    max_attempts: int
    public: bool = False
