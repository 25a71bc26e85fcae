"""Checks the platform's configuration document."""

import itertools

from rhubarbpaddle.cli.check_report import NO_CHANGE, CheckReport
from rhubarbpaddle.configuration.limit_contradictions import (
    find_contradictions,
)
from rhubarbpaddle.configuration.routing_difference import (
    find_version_conflict,
    iter_routing_changes,
)
from rhubarbpaddle.configuration.routing_draft import RoutingDraft
from rhubarbpaddle.configuration.unreachable_entries import (
    find_unreachable_entries,
)
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.platform.configuration_draft import parse_draft

_FORM = "document"


def check_document(
    file: str, text: str, base_name: str, base: RoutingDraft | None
) -> CheckReport:
    """Checks a document and compares it with another.

    Args:
        file: The name of the document's file.
        text: The document.
        base_name: What it is compared with.
        base: The document in force, or None not to compare.
    """
    try:
        draft = parse_draft(text)
    except ConfigurationError as exc:
        return CheckReport(file, _FORM, exc.problems)
    findings = itertools.chain(
        find_unreachable_entries(draft), find_contradictions(draft)
    )
    if base is None:
        return CheckReport(file, _FORM, findings=tuple(findings))
    return CheckReport(
        file,
        _FORM,
        findings=(*findings, *find_version_conflict(base, draft)),
        base=base_name,
        changes=tuple(iter_routing_changes(base, draft)) or NO_CHANGE,
    )
