"""Everything found while a text is checked."""

from rhubarbpaddle.configuration.diagnostic import Diagnostic


class Findings:
    """Collects problems and warnings and computes their places.

    Attributes:
        problems: What makes the text invalid.
        warnings: What weakens a guarantee but is permitted.
    """

    def __init__(self, text: str) -> None:
        self.problems: list[Diagnostic] = []
        self.warnings: list[Diagnostic] = []
        self._text = text

    def add_problem(self, offset: int, detail: str, remedy: str) -> None:
        """Adds a problem at the character with this index."""
        self.problems.append(self._locate(offset, detail, remedy))

    def add_warning(self, offset: int, detail: str, remedy: str) -> None:
        """Adds a warning at the character with this index."""
        self.warnings.append(self._locate(offset, detail, remedy))

    def list_problems(self) -> list[str]:
        """Returns a line for each problem, in the order of the text."""
        return [str(problem) for problem in sorted(self.problems)]

    def _locate(self, offset: int, detail: str, remedy: str) -> Diagnostic:
        line_start = self._text.rfind("\n", 0, offset) + 1
        line = self._text.count("\n", 0, offset) + 1
        return Diagnostic(line, offset - line_start + 1, detail, remedy)
