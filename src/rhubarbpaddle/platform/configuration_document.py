"""Parses the configuration document of the platform."""

import math
import re
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.organisation_table import OrganisationTable
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.route_kind import RouteKind
from rhubarbpaddle.configuration.route_table import RouteTable
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.configuration.weighted_service import WeightedService
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.json_document import decode_json

# Names and keys are sent in header fields, whose values have no spaces here.
_HEADER_VALUE = re.compile(r"[!-~]{1,255}")


def parse_configuration_document(
    text: bytes | str, withdrawn_zones: Iterable[str] = ()
) -> RoutingConfiguration:
    """Parses a complete configuration.

    Args:
        text: The JSON document.
        withdrawn_zones: Availability zones that receive no new requests.

    Raises:
        ConfigurationError: A field is missing or has a wrong type or value.
    """
    try:
        document = decode_json(text, replace_invalid_text=True)
        entries = document["resources"]
        limits = next(
            entry["spec"] for entry in entries if entry["entryKind"] == "limits"
        )
        return RoutingConfiguration(
            version=parse_version(document["version"]),
            routes=RouteTable.from_routes(
                parse_route(entry["metadata"]["name"], entry["spec"])
                for entry in entries
                if entry["entryKind"] == "routes"
            ),
            services={
                entry["metadata"]["name"]: parse_limits(
                    entry["metadata"]["name"], entry["spec"]
                )
                for entry in entries
                if entry["entryKind"] == "services"
            },
            head_bytes=int(limits["maxHeaderBytes"]),
            body_bytes=int(limits["maxBodyBytes"]),
            head_timeout=_parse_ms(limits["headerTimeoutMs"]),
            idle_timeout=_parse_ms(limits["idleTimeoutMs"]),
            withdrawn_zones=frozenset(withdrawn_zones),
            organisations=OrganisationTable.from_entries(
                parse_organisation(entry["metadata"]["name"], entry["spec"])
                for entry in entries
                if entry["entryKind"] == "tenants"
            ),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        StopIteration,
    ) as exc:
        raise ConfigurationError(
            [f"invalid configuration document: {exc!r}"],
            step="parse_configuration",
        ) from exc


def parse_version(text: str) -> int:
    """Returns the number in a version such as `r12`.

    Raises:
        ValueError: The text is not `r` followed by a number.
    """
    if text[:1] != "r":
        raise ValueError(f"not a version: {text!r}")
    return int(text[1:])


def parse_route(
    name: str, spec: dict[str, Any], *, keep_weightless: bool = False
) -> Route:
    """Returns a route.

    Args:
        name: Its name.
        spec: The entry of the document.
        keep_weightless: Whether its destinations include services of its split
            that get no requests.
    """
    destinations: tuple[WeightedService, ...]
    if spec.get("trafficSplit"):
        split = [
            WeightedService(str(entry["service"]), float(entry["weight"]))
            for entry in spec["trafficSplit"]
        ]
        weighted = [entry for entry in split if entry.weight > 0]
        if not weighted:
            raise ValueError(f"route {name}: no service has a positive weight")
        destinations = tuple(split if keep_weightless else weighted)
    else:
        destinations = (WeightedService(str(spec["service"]), 1.0),)
    return Route(
        name=str(name),
        host=str(spec["host"]).lower(),
        path_prefix=str(spec["pathPrefix"]),
        kind=RouteKind(spec["kind"]),
        destinations=destinations,
        timeout=_parse_ms(spec["timeoutMs"]),
        latency_target=_parse_ms(spec["targetLatencyMs"]),
        priority=int(spec["priority"]),
        max_attempts=int(spec["maxAttempts"]),
        public=bool(spec.get("public", False)),
    )


def parse_organisation(
    name: str, spec: dict[str, Any]
) -> tuple[Organisation, list[str]]:
    """Returns an organisation and its keys."""
    if not isinstance(name, str) or not _HEADER_VALUE.fullmatch(name):
        raise ValueError(f"{name!r} is not the name of an organisation")
    keys = spec["apiKeys"]
    if not isinstance(keys, list) or not all(map(_is_key, keys)):
        raise ValueError(f"organisation {name}: a key is not a token")
    priority = spec.get("priority")
    return Organisation(
        name=name,
        priority=None if priority is None else int(priority),
        rate=_parse_amount(name, spec, "ratePerS"),
        burst=_parse_amount(name, spec, "burst"),
    ), keys


def _is_key(key: object) -> bool:
    return isinstance(key, str) and bool(_HEADER_VALUE.fullmatch(key))


def _parse_amount(name: str, spec: dict[str, Any], field: str) -> float:
    """Returns a number that is not negative; 0 if it is absent."""
    value = float(spec.get(field) or 0)
    if not 0 <= value < math.inf:
        raise ValueError(f"organisation {name}: {field} is {value}")
    return value


def parse_limits(name: str, spec: dict[str, Any]) -> ServiceLimits:
    """Returns the limits of a service."""
    return ServiceLimits(
        service=str(name),
        health_path=str(spec["healthPath"]),
        connections=int(spec["maxConnections"]),
        cold_start=timedelta(seconds=float(spec["coldStartS"])),
        cold_rate=float(spec["coldPerS"]),
    )


def _parse_ms(value: float) -> timedelta:
    return timedelta(milliseconds=float(value))
