"""Finds availability zones and services without upstreams."""

from collections.abc import Collection, Iterator

from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.finding import Finding


def find_missing_upstreams(
    configuration: Configuration, upstreams: Collection[tuple[str, str]]
) -> Iterator[Finding]:
    """Yields a finding for each zone and service that can't serve requests.

    Args:
        configuration: The configuration.
        upstreams: The availability zone and the service of each upstream.
    """
    zones = {zone for zone, _ in upstreams}
    for name in configuration.availability_zones:
        if configuration.is_in_service(name) and name not in zones:
            yield Finding(
                "zone_without_upstreams",
                f"availability zone {name}",
                "it is in service but has no upstreams",
            )
    for name in sorted(zones - configuration.availability_zones.keys()):
        yield Finding(
            "unknown_zone",
            f"availability zone {name}",
            "it has upstreams but is not in the configuration, so that they"
            " get no new requests",
        )
    services = {
        service
        for zone, service in upstreams
        if configuration.is_in_service(zone)
    }
    for name in configuration.services:
        if name not in services:
            yield Finding(
                "service_without_upstreams",
                f"service {name}",
                "no availability zone in service has an upstream of it",
            )
