"""Checks the product's configuration text."""

from collections.abc import Collection

from rhubarbpaddle.cli.check_report import CheckReport
from rhubarbpaddle.cli.configuration_difference import ConfigurationDifference
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.missing_upstreams import (
    find_missing_upstreams,
)
from rhubarbpaddle.configuration.text import check_text
from rhubarbpaddle.configuration.text_findings import find_in_text
from rhubarbpaddle.exceptions import ConfigurationError

_FORM = "text"


def check_configuration_text(
    file: str,
    text: str,
    base_name: str,
    base: AcceptedConfiguration | None,
    upstreams: Collection[tuple[str, str]] | None,
) -> CheckReport:
    """Checks a text and compares it with another.

    Args:
        file: The name of the text's file.
        text: The configuration text.
        base_name: What it is compared with; empty not to compare.
        base: The configuration in force; None if there is none.
        upstreams: The availability zone and the service of each upstream, or
            None if they are not known.
    """
    try:
        checked = check_text(text)
    except ConfigurationError as exc:
        return CheckReport(file, _FORM, exc.problems)
    findings = tuple(find_in_text(checked.configuration))
    if upstreams is not None:
        findings += tuple(
            find_missing_upstreams(checked.configuration, upstreams)
        )
    changes: tuple[str, ...] = ()
    if base_name:
        changes = ConfigurationDifference.between(
            base, text, checked.configuration
        ).summary
    return CheckReport(
        file, _FORM, (), checked.warnings, findings, base_name, changes
    )
