"""Collects the errors and warnings about a text."""

from rhubarbpaddle.configuration.diagnostic import Diagnostic


class Findings:
    """Collects errors and warnings and computes their line and column.

    Attributes:
        problems: The errors that make the text invalid.
        warnings: Valid settings that weaken a guarantee.
    """

    def __init__(self, text: str) -> None:
        self.problems: list[Diagnostic] = []
        self.warnings: list[Diagnostic] = []
        self._text = text

    def add_problem(self, offset: int, detail: str, remedy: str) -> None:
        """Adds an error at a character offset of the text."""
        self.problems.append(self._locate(offset, detail, remedy))

    def add_warning(self, offset: int, detail: str, remedy: str) -> None:
        """Adds a warning at a character offset of the text."""
        self.warnings.append(self._locate(offset, detail, remedy))

    def list_problems(self) -> list[str]:
        """Returns one line for each error, ordered by position in the text."""
        return [str(problem) for problem in sorted(self.problems)]

    def _locate(self, offset: int, detail: str, remedy: str) -> Diagnostic:
        line_start = self._text.rfind("\n", 0, offset) + 1
        line = self._text.count("\n", 0, offset) + 1
        return Diagnostic(line, offset - line_start + 1, detail, remedy)
