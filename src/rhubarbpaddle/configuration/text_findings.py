"""Finds entries of the configuration text that have no effect."""

import itertools
from collections.abc import Iterator

from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.finding import Finding
from rhubarbpaddle.configuration.service import Service


def find_in_text(configuration: Configuration) -> Iterator[Finding]:
    """Yields a finding for each entry that can never take effect."""
    return itertools.chain(
        itertools.chain.from_iterable(
            map(_find_covered_targets, configuration.services.values())
        ),
        itertools.chain.from_iterable(
            map(_find_contradictions, configuration.services.values())
        ),
        _find_closed_regions(configuration),
    )


def _find_covered_targets(service: Service) -> Iterator[Finding]:
    for target in service.idempotent_targets:
        for other in service.idempotent_targets:
            if target != other and target.startswith(other):
                yield Finding(
                    "covered_target",
                    f"service {service.name}",
                    f"{target} never decides, because {other} is a prefix of"
                    " it",
                )
                break


def _find_contradictions(service: Service) -> Iterator[Finding]:
    if service.probe_share > 0 and service.probe_cost > service.timeout:
        yield Finding(
            "probe_above_timeout",
            f"service {service.name}",
            f"a probe costs {service.probe_cost}, more than the timeout of"
            f" {service.timeout}",
        )


def _find_closed_regions(configuration: Configuration) -> Iterator[Finding]:
    zones = configuration.availability_zones.values()
    open_regions = {zone.region for zone in zones if zone.in_service}
    for region in sorted({zone.region for zone in zones} - open_regions):
        yield Finding(
            "closed_region",
            f"region {region}",
            "none of its availability zones is in service",
        )
