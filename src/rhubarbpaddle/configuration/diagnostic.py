"""An error or a warning about a text."""

from typing import NamedTuple


class Diagnostic(NamedTuple):
    """An error or warning at a position of a text, with a suggested fix.

    Attributes:
        line: The line number, from 1.
        column: The character position within the line, from 1.
        detail: A description of the error.
        remedy: A suggested fix.
    """

    line: int
    column: int
    detail: str
    remedy: str

    def __str__(self) -> str:
        return (
            f"line {self.line}, column {self.column}: "
            f"{self.detail}; {self.remedy}"
        )
