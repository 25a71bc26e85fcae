"""One finding in a checked text."""

from typing import NamedTuple


class Diagnostic(NamedTuple):
    """What is wrong at a place of a text, and what would be right.

    Attributes:
        line: The line, from 1.
        column: The character within the line, from 1.
        detail: What is wrong.
        remedy: What would be right.
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
