"""Parses the status report and the departure notice of an instance."""

from datetime import timedelta
from typing import Any

from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.node.instance_report import InstanceReport

_STATES = frozenset({"ready", "draining"})
_STEP = "read_report"
# Far more than a cold start takes.
_MAX_COLD_TIME = timedelta(days=1)
_MAX_SLOTS = 1_000_000
# Nodes do not accept longer names from each other.
_MAX_VERSION_LENGTH = 255


def parse_report(instance: str, content: bytes) -> InstanceReport:
    """Parses a status report.

    Args:
        instance: The instance id in the path of the request.
        content: The body of the request.

    Raises:
        ProtocolError: A field is missing or has a wrong type or value.
    """
    document = _parse_object(content)
    try:
        state = document["state"]
        if state not in _STATES:
            raise ValueError(f"unknown state {state!r}")
        slots = _get_number(document, "slots")
        if not 1 <= slots <= _MAX_SLOTS:
            raise ValueError(f"slots is {slots}")
        cold_time = timedelta(
            milliseconds=_get_number(document, "coldRemainingMs")
        )
        if cold_time > _MAX_COLD_TIME:
            raise ValueError(f"coldRemainingMs is {cold_time}")
        return InstanceReport(
            instance=instance,
            # The start time of the instance in Unix milliseconds.
            incarnation=_get_number(document, "born"),
            sequence=_get_number(document, "seq"),
            service=_get_string(document, "service"),
            slots=slots,
            leaving=state == "draining",
            cold_time=cold_time,
            version=_get_version(document),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as exc:
        raise ProtocolError(
            f"a field is missing or invalid: {exc!r}", step=_STEP, peer=instance
        ) from exc


def parse_departure(instance: str, content: bytes) -> int | None:
    """Returns the incarnation in a departure notice, or None.

    Raises:
        ProtocolError: The body is not a JSON object.
    """
    if not content.strip():
        return None
    born = _parse_object(content).get("born")
    return born if type(born) is int else None


def _parse_object(content: bytes) -> dict[str, Any]:
    try:
        document = decode_json(content)
    except ValueError as exc:
        raise ProtocolError(str(exc), step=_STEP) from exc
    if not isinstance(document, dict):
        raise ProtocolError("the body is not an object", step=_STEP)
    return document


def _get_number(document: dict[str, Any], name: str) -> int:
    value = document[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is not a number")
    if value < 0:
        raise ValueError(f"{name} is negative")
    return int(value)


def _get_string(document: dict[str, Any], name: str) -> str:
    value = document[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a non-empty string")
    return value


def _get_version(document: dict[str, Any]) -> str:
    """Returns the version, or the empty string if none is reported."""
    version = document.get("version", "")
    if not isinstance(version, str):
        raise TypeError("version is not a string")
    if len(version) > _MAX_VERSION_LENGTH:
        raise ValueError("version is too long")
    return version
