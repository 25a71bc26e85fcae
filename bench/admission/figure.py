"""One line of a table of figures."""

from typing import NamedTuple


class Figure(NamedTuple):
    """A measured figure with its target.

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
