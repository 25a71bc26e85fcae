"""What the `check` command found out about a configuration file."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.configuration.finding import Finding

# The changes of a file that takes the same effect as its base.
NO_CHANGE = ("makes no semantic change",)


class CheckReport(NamedTuple):
    """The result of a check.

    Attributes:
        file: The file.
        form: `text` for the product's configuration text, `document` for the
            platform's configuration document.
        errors: Why nodes would not accept it.
        warnings: Settings that weaken a guarantee.
        findings: Entries without effect, and contradictory limits.
        base: What it was compared with, or the empty string.
        changes: One line for each difference from the base.
    """

    file: str
    form: str
    errors: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    findings: tuple[Finding, ...] = ()
    base: str = ""
    changes: tuple[str, ...] = ()

    def get_exit_code(self, *, strict: bool) -> ExitCode:
        """Returns the exit code.

        Args:
            strict: Whether findings matter.
        """
        if self.errors:
            return ExitCode.INVALID_TEXT
        if strict and self.findings:
            return ExitCode.FINDINGS
        return ExitCode.SUCCESS

    def iter_problems(self) -> Iterator[str]:
        """Yields a line for each error, warning and finding."""
        for error in self.errors:
            yield f"{self.file}: {error}"
        if self.errors:
            yield f"{self.file}: invalid, {len(self.errors)} problem(s)"
        for warning in self.warnings:
            yield f"{self.file}: warning: {warning}"
        for finding in self.findings:
            yield f"{self.file}: {finding}"

    def iter_results(self) -> Iterator[str]:
        """Yields a line for each change, and the result of a valid file."""
        if self.errors:
            return
        if self.base:
            yield f"{self.file}: compared with {self.base}, it"
            yield from (f"- {change}" for change in self.changes)
        count = len(self.findings)
        suffix = f", {count} finding(s)" if count else ""
        yield f"{self.file}: valid{suffix}"

    def make_document(self) -> dict[str, Any]:
        """Returns the report for JSON."""
        return {
            "file": self.file,
            "form": self.form,
            "valid": not self.errors,
            "errors": list(self.errors),
            "warnings": list(self.warnings),
            "findings": [finding._asdict() for finding in self.findings],
            "base": self.base or None,
            "changes": list(self.changes) if self.base else None,
        }
