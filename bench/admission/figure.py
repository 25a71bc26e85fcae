"""A measured figure and its target."""

from typing import NamedTuple


class Figure(NamedTuple):
    """A row of the table of results.

    Attributes:
        name: What was measured.
        value: The figure with its unit.
        target: The target with its unit, or `-`.
        met: Whether the target was met; None without a target.
    """

    name: str
    value: str
    target: str = "-"
    met: bool | None = None
