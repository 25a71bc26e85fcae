"""The status of all nodes."""

from collections.abc import Mapping
from typing import NamedTuple

from rhubarbpaddle.cli.node_report import NodeReport

_COLUMN_TITLES = [
    "NODE", "ZONE", "SERVICE", "VERSION", "DIGEST", "AGE", "UPSTREAM", "STATE",
    "RUNNING/LIMIT", "QUEUED", "REMARKS",
]  # fmt: skip


class FleetReport(NamedTuple):
    """The nodes that responded and those that did not.

    Attributes:
        reports: The status by node id.
        unreached: The address and the error of nodes that did not respond, by
            node id.
    """

    reports: Mapping[str, NodeReport]
    unreached: Mapping[str, str]

    def find_newest(self) -> tuple[int, str]:
        """Returns the highest version in force on any node, and its digest."""
        return max(
            ((r.version, r.digest) for r in self.reports.values()),
            default=(0, ""),
        )

    def list_older_nodes(self, version: int) -> list[str]:
        """Returns the ids of nodes that run an older version than this one."""
        return sorted(
            name
            for name, report in self.reports.items()
            if report.version < version
        )

    def list_nodes_behind(self, version: int, digest: str) -> list[str]:
        """Returns the ids of nodes that run a configuration other than this.

        Args:
            version: The newest version.
            digest: The digest of its text.
        """
        return sorted(
            name
            for name, report in self.reports.items()
            if (report.version, report.digest) != (version, digest)
        )

    def format_table(self) -> list[str]:
        """Returns a header line and a line for each node that responded."""
        rows = [_COLUMN_TITLES]
        rows += [r.list_cells() for _, r in sorted(self.reports.items())]
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        return [
            "  ".join(
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in rows
        ]
