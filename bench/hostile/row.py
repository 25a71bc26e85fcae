"""A row of the table."""

from typing import NamedTuple


class Row(NamedTuple):
    """What remote ends of one kind cost.

    Attributes:
        kind: What the remote ends do.
        count: Their number, all at one node.
        failed: Failed requests of others, and all of them.
        p50_ms: The median time of others' requests through that node.
        p99_ms: The 99th percentile.
        longest_ms: The longest iteration of a node's event loop.
        cpu_share: The processor time of that node, as a share of a core.
        memory_mib: The highest resident memory of a node at the end.
        growth_mib: The highest growth of a node's memory.
    """

    kind: str
    count: int
    failed: str
    p50_ms: float
    p99_ms: float
    longest_ms: str
    cpu_share: float
    memory_mib: float
    growth_mib: float

    def format(self) -> str:
        """Returns the row as a line of a Markdown table."""
        cells = (
            f"{cell:.2f}"
            if isinstance(cell, float) and cell < 1
            else f"{cell:.1f}"
            if isinstance(cell, float)
            else str(cell)
            for cell in self
        )
        return "| " + " | ".join(cells) + " |"
