"""Reads a configuration document with all its entries, to check it."""

from collections.abc import Iterable, Iterator
from typing import Any

from rhubarbpaddle.configuration.organisation_table import OrganisationTable
from rhubarbpaddle.configuration.routing_draft import RoutingDraft
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
    parse_limits,
    parse_organisation,
    parse_route,
    parse_version,
)

_STEP = "check_configuration"
_READ_KINDS = ("routes", "services", "tenants")
_LIMITS = "limits"
_PARSE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    StopIteration,
)


def parse_draft(text: str) -> RoutingDraft:
    """Parses a document and reports the problems of all its entries.

    Raises:
        ConfigurationError: A node would not accept the document.
    """
    problems = list(_iter_problems(text))
    if problems:
        raise ConfigurationError(problems, step=_STEP)
    configuration = parse_configuration_document(text)
    entries = decode_json(text, replace_invalid_text=True)["resources"]
    return RoutingDraft(
        configuration=configuration,
        routes=tuple(
            parse_route(name, spec, keep_weightless=True)
            for name, spec in _select(entries, "routes")
        ),
        services=tuple(
            parse_limits(name, spec)
            for name, spec in _select(entries, "services")
        ),
        organisations=tuple(
            (organisation, frozenset(keys))
            for organisation, keys in (
                parse_organisation(name, spec)
                for name, spec in _select(entries, "tenants")
            )
        ),
        ignored=tuple(_iter_ignored(entries)),
    )


def _select(
    entries: Iterable[dict[str, Any]], kind: str
) -> Iterator[tuple[str, dict[str, Any]]]:
    for entry in entries:
        if entry["entryKind"] == kind:
            yield entry["metadata"]["name"], entry["spec"]


def _iter_problems(text: str) -> Iterator[str]:
    """Yields the problems of entries, and of the document as a whole."""
    try:
        document = decode_json(text, replace_invalid_text=True)
        parse_version(document["version"])
        entries = list(document["resources"])
    except _PARSE_ERRORS as exc:
        yield f"the document: {_describe(exc)}"
        return
    for number, entry in enumerate(entries, start=1):
        try:
            _parse_entry(entry)
        except _PARSE_ERRORS as exc:
            yield f"entry {number}{_get_title(entry)}: {_describe(exc)}"
    if not any(_is_limits(entry) for entry in entries):
        yield "the document: there are no limits for requests"
    try:
        OrganisationTable.from_entries(
            parse_organisation(name, spec)
            for name, spec in _select(entries, "tenants")
        )
    except ValueError as exc:
        yield f"the document: {_describe(exc)}"
    except _PARSE_ERRORS:
        # Reported with its entry.
        return


def _parse_entry(entry: dict[str, Any]) -> None:
    kind = entry["entryKind"]
    if kind not in _READ_KINDS:
        return
    name, spec = entry["metadata"]["name"], entry["spec"]
    if kind == "routes":
        parse_route(name, spec)
    elif kind == "services":
        parse_limits(name, spec)
    else:
        parse_organisation(name, spec)


def _iter_ignored(entries: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Yields the titles of entries that a node doesn't read."""
    has_limits = False
    for number, entry in enumerate(entries, start=1):
        kind = entry["entryKind"]
        if kind in _READ_KINDS or (kind == _LIMITS and not has_limits):
            has_limits |= kind == _LIMITS
            continue
        yield f"entry {number}{_get_title(entry)}"


def _is_limits(entry: object) -> bool:
    return isinstance(entry, dict) and entry.get("entryKind") == _LIMITS


def _get_title(entry: object) -> str:
    if not isinstance(entry, dict):
        return ""
    metadata = entry.get("metadata")
    name = metadata.get("name") if isinstance(metadata, dict) else None
    words = [str(word) for word in (entry.get("entryKind"), name) if word]
    return f" ({' '.join(words)})" if words else ""


def _describe(exc: Exception) -> str:
    if isinstance(exc, KeyError):
        return f"{exc} is missing"
    return str(exc) or repr(exc)
