"""Collects the errors and warnings about a text."""

from rhubarbpaddle.configuration.diagnostic import Diagnostic


class DiagnosticCollector:
    """Collects errors and warnings and computes their line and column.

    Attributes:
        errors: The errors that make the text invalid.
        warnings: Valid settings that weaken a guarantee.
    """

    def __init__(self, text: str) -> None:
        self.errors: list[Diagnostic] = []
        self.warnings: list[Diagnostic] = []
        self._text = text

    def add_error(self, offset: int, detail: str, remedy: str) -> None:
        """Adds an error at a character offset of the text."""
        self.errors.append(self._locate(offset, detail, remedy))

    def add_warning(self, offset: int, detail: str, remedy: str) -> None:
        """Adds a warning at a character offset of the text."""
        self.warnings.append(self._locate(offset, detail, remedy))

    def list_errors(self) -> list[str]:
        """Returns one line for each error, ordered by position in the text."""
        return [str(error) for error in sorted(self.errors)]

    def _locate(self, offset: int, detail: str, remedy: str) -> Diagnostic:
        line_start = self._text.rfind("\n", 0, offset) + 1
        line = self._text.count("\n", 0, offset) + 1
        return Diagnostic(line, offset - line_start + 1, detail, remedy)
