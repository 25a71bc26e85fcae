"""The operators' text: JSON with comments."""

import json
import re
from datetime import timedelta
from typing import Any

from rhubarbpaddle.configuration.availability_zone import AvailabilityZone
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.configuration.tenant import Tenant
from rhubarbpaddle.exceptions import ConfigurationError

_STRING_OR_COMMENT = re.compile(
    r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL
)
_STEP = "check_configuration"


def strip_comments(text: str) -> str:
    """Returns the text with comments blanked, so that positions stay."""

    def blank(match: re.Match[str]) -> str:
        token = match.group()
        return token if token[0] == '"' else re.sub(r"[^\n]", " ", token)

    return _STRING_OR_COMMENT.sub(blank, text)


def parse_configuration(text: str) -> Configuration:
    """Parses and checks the operators' text.

    Args:
        text: JSON with `//` and `/* */` comments.

    Returns:
        The checked configuration.

    Raises:
        ConfigurationError: The text is invalid.
    """
    try:
        document: dict[str, Any] = json.loads(strip_comments(text))
        return Configuration(
            services={
                name: _parse_service(name, fields)
                for name, fields in document["services"].items()
            },
            availability_zones={
                name: AvailabilityZone(
                    name,
                    fields.get("region", "default"),
                    fields.get("in_service", True),
                )
                for name, fields in document["availability_zones"].items()
            },
            tenants={
                name: Tenant(name, fields.get("weight", 1))
                for name, fields in document.get("tenants", {}).items()
            },
        )
    except json.JSONDecodeError as exc:
        problem = f"line {exc.lineno}, column {exc.colno}: {exc.msg}"
        raise ConfigurationError([problem], step=_STEP) from exc
    except (KeyError, TypeError, AttributeError) as exc:
        raise ConfigurationError([repr(exc)], step=_STEP) from exc


def _parse_service(name: str, fields: dict[str, Any]) -> Service:
    return Service(
        name=name,
        depends_on=tuple(fields.get("depends_on", ())),
        slots=fields.get("slots", 6),
        connections=fields.get("connections", 240),
        timeout=timedelta(milliseconds=fields.get("timeout_ms", 10_000)),
    )
