"""Parses and validates the configuration text, JSON with comments."""

from rhubarbpaddle.configuration.availability_zone import AvailabilityZone
from rhubarbpaddle.configuration.checked_text import CheckedText
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.dependency_graph import DependencyGraph
from rhubarbpaddle.configuration.diagnostic_collector import DiagnosticCollector
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.section import HOST_LABEL, Section
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.configuration.service_reader import read_service
from rhubarbpaddle.configuration.text_scanner import TextScanner
from rhubarbpaddle.exceptions import ConfigurationError

_STEP = "check_configuration"
# Nodes send each other the text in a single frame of at most 1 MiB.
MAX_TEXT_BYTES = 256 * 1024


def parse_configuration(text: str) -> Configuration:
    """Parses and validates a configuration text.

    Args:
        text: JSON with `//` and `/* */` comments.

    Returns:
        The validated configuration.

    Raises:
        ConfigurationError: The text is invalid.
    """
    return check_text(text).configuration


def check_text(text: str) -> CheckedText:
    """Parses and validates a configuration text and collects warnings.

    Args:
        text: JSON with `//` and `/* */` comments, at most 256 KiB in UTF-8.

    Returns:
        The validated configuration with its warnings.

    Raises:
        ConfigurationError: The text is invalid; the exception lists all errors.
    """
    diagnostics = DiagnosticCollector(text)
    configuration = _read_configuration(text, diagnostics)
    if diagnostics.errors or configuration is None:
        raise ConfigurationError(diagnostics.list_errors(), step=_STEP)
    warnings = tuple(str(warning) for warning in sorted(diagnostics.warnings))
    return CheckedText(configuration, warnings)


def _read_configuration(
    text: str, diagnostics: DiagnosticCollector
) -> Configuration | None:
    try:
        size = len(text.encode())
    except UnicodeEncodeError as exc:
        diagnostics.add_error(
            exc.start, "a character that is not Unicode", "remove it"
        )
        return None
    if size > MAX_TEXT_BYTES:
        diagnostics.add_error(
            0,
            f"the text has {size} bytes",
            f"write at most {MAX_TEXT_BYTES}",
        )
        return None
    value = TextScanner(text, diagnostics).scan()
    if value is None:
        return None
    root = Section(value, "the text", diagnostics)
    root.require("services", "availability_zones")
    configuration = Configuration(
        services=_read_services(root),
        availability_zones=_read_zones(root),
        organisations=_read_organisations(root),
    )
    root.finish()
    return configuration


def _read_services(root: Section) -> dict[str, Service]:
    section = root.read_section("services")
    services: dict[str, Service] = {}
    edges: dict[str, dict[str, int]] = {}
    if section is not None:
        for name, entry in section.read_named_sections("service"):
            edges[name] = entry.read_strings("depends_on", ())
            services[name] = read_service(name, entry, edges[name])
        DependencyGraph(edges).check(root.diagnostics)
    return services


def _read_zones(root: Section) -> dict[str, AvailabilityZone]:
    section = root.read_section("availability_zones")
    zones: dict[str, AvailabilityZone] = {}
    if section is None:
        return zones
    for name, entry in section.read_named_sections("availability zone"):
        zones[name] = AvailabilityZone(
            name,
            entry.read_string("region", "default", _check_region),
            entry.read_bool("in_service", True),
        )
        entry.finish()
    if not any(zone.in_service for zone in zones.values()):
        root.diagnostics.add_error(
            section.offset,
            "no availability zone is in service, so no request could run",
            "leave at least one in service",
        )
    return zones


def _read_organisations(root: Section) -> dict[str, Organisation]:
    section = root.read_section("tenants")
    organisations: dict[str, Organisation] = {}
    if section is None:
        return organisations
    for name, entry in section.read_named_sections("tenant"):
        organisations[name] = Organisation(
            name, entry.read_int("weight", 1, 1, 1_000)
        )
        entry.finish()
    return organisations


def _check_region(region: str) -> str | None:
    if HOST_LABEL.fullmatch(region):
        return None
    return "use letters a-z, digits and -"
