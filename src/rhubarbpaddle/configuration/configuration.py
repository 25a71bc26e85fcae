"""A parsed and validated configuration."""

from collections.abc import Mapping
from typing import NamedTuple

from rhubarbpaddle.configuration.availability_zone import AvailabilityZone
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.service import Service


class Configuration(NamedTuple):
    """The operators' configuration, validated as a whole.

    Attributes:
        services: The services by name.
        availability_zones: The availability zones by name.
        organisations: The organisations by name.
    """

    services: Mapping[str, Service]
    availability_zones: Mapping[str, AvailabilityZone]
    organisations: Mapping[str, Organisation]

    def is_in_service(self, availability_zone: str) -> bool:
        """Returns whether a zone may get new requests; False if unknown."""
        zone = self.availability_zones.get(availability_zone)
        return zone is not None and zone.in_service
