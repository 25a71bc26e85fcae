"""The instances of one service by version."""

from collections.abc import Mapping
from typing import NamedTuple


class ServiceVersions(NamedTuple):
    """Which nodes have an instance of which version.

    Attributes:
        accepting: The ids of the nodes whose instance accepts requests, by
            version.
        present: The versions of all instances, including those that are down,
            but not those that have left.
    """

    accepting: Mapping[str, frozenset[str]]
    present: frozenset[str]

    def get_nodes(self, version: str) -> frozenset[str]:
        """Returns the nodes with an accepting instance of a version."""
        return self.accepting.get(version, frozenset())

    def get_other_nodes(self, version: str) -> frozenset[str]:
        """Returns the nodes with an accepting instance of another version."""
        return frozenset().union(
            *(
                node_ids
                for other, node_ids in self.accepting.items()
                if other != version
            )
        )
