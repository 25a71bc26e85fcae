"""Parses, validates and versions the operators' configuration."""

from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.accepted_publication import AcceptedPublication
from rhubarbpaddle.configuration.availability_zone import AvailabilityZone
from rhubarbpaddle.configuration.checked_text import CheckedText
from rhubarbpaddle.configuration.checkpoint import Checkpoint
from rhubarbpaddle.configuration.checkpoint_metadata import CheckpointMetadata
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.configuration.publication import Publication
from rhubarbpaddle.configuration.records import parse_record
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.route_kind import RouteKind
from rhubarbpaddle.configuration.route_table import RouteTable
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.configuration.tenant import Tenant
from rhubarbpaddle.configuration.text import check_text, parse_configuration
from rhubarbpaddle.configuration.weighted_service import WeightedService

__all__ = [
    "AcceptedConfiguration",
    "AcceptedPublication",
    "AvailabilityZone",
    "CheckedText",
    "Checkpoint",
    "CheckpointMetadata",
    "Configuration",
    "ConfigurationHistory",
    "Publication",
    "Route",
    "RouteKind",
    "RouteTable",
    "RoutingConfiguration",
    "Service",
    "ServiceLimits",
    "Tenant",
    "WeightedService",
    "check_text",
    "parse_configuration",
    "parse_record",
]
