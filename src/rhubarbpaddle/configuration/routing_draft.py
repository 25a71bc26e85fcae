"""A routing configuration with all its entries, before publication."""

from typing import NamedTuple

from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.configuration.service_limits import ServiceLimits


class RoutingDraft(NamedTuple):
    """A valid routing configuration and the entries that it was made from.

    The configuration holds only what takes effect.

    Attributes:
        configuration: The configuration as a node reads it.
        routes: All routes in order, with all services of their splits.
        services: The limits of all services in order.
        organisations: The organisations with their keys.
        ignored: The entries that a node doesn't read.
    """

    configuration: RoutingConfiguration
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    organisations: tuple[tuple[Organisation, frozenset[str]], ...]
    ignored: tuple[str, ...]
