"""A configuration that routes requests by host and path."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from rhubarbpaddle.configuration.route_table import RouteTable
from rhubarbpaddle.configuration.service_limits import ServiceLimits


class RoutingConfiguration(NamedTuple):
    """Everything that operators have put in force, checked as a whole.

    Attributes:
        version: The number that operators gave it; never goes back.
        routes: The routes.
        services: The services' limits by name.
        head_bytes: The longest head of a caller's request.
        body_bytes: The longest body of a caller's request.
        head_timeout: How long a caller's head may take.
        idle_timeout: How long a caller's connection may wait for a request.
        withdrawn_zones: Availability zones that get no new work.
    """

    version: int
    routes: RouteTable
    services: Mapping[str, ServiceLimits]
    head_bytes: int
    body_bytes: int
    head_timeout: timedelta
    idle_timeout: timedelta
    withdrawn_zones: frozenset[str] = frozenset()

    def is_in_service(self, availability_zone: str) -> bool:
        """Returns whether a zone may get new work."""
        return availability_zone not in self.withdrawn_zones
