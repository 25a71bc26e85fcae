"""A configuration that routes requests by host and path."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from rhubarbpaddle.configuration.organisation_table import (
    NO_ORGANISATIONS,
    OrganisationTable,
)
from rhubarbpaddle.configuration.route_table import RouteTable
from rhubarbpaddle.configuration.service_limits import ServiceLimits


class RoutingConfiguration(NamedTuple):
    """The routes and limits in force, validated as a whole.

    Attributes:
        version: The version that operators assigned; it never decreases.
        routes: The routes.
        services: The limits of each service, by the service's name.
        head_bytes: The largest request head that is accepted, in bytes.
        body_bytes: The largest request body that is accepted, in bytes.
        head_timeout: The time within which a request head must arrive.
        idle_timeout: The time after which an idle caller's connection is
            closed.
        withdrawn_zones: Availability zones that get no new requests.
        organisations: The organisations whose keys callers have to send; empty
            if callers need no keys.
    """

    version: int
    routes: RouteTable
    services: Mapping[str, ServiceLimits]
    head_bytes: int
    body_bytes: int
    head_timeout: timedelta
    idle_timeout: timedelta
    withdrawn_zones: frozenset[str] = frozenset()
    organisations: OrganisationTable = NO_ORGANISATIONS

    def is_in_service(self, availability_zone: str) -> bool:
        """Returns whether a zone may get new requests."""
        return availability_zone not in self.withdrawn_zones
