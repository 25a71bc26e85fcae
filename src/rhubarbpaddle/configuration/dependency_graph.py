"""Validates the dependencies between services."""

from collections.abc import Mapping
from typing import NamedTuple

from rhubarbpaddle.configuration.diagnostic_collector import DiagnosticCollector
from rhubarbpaddle.configuration.section import suggest_name


class DependencyGraph(NamedTuple):
    """A directed graph of the services' dependencies.

    Attributes:
        edges: For each service the services that it calls, each with the
            offset in the text where the dependency is listed.
    """

    edges: Mapping[str, Mapping[str, int]]

    def check(self, diagnostics: DiagnosticCollector) -> None:
        """Reports each unknown dependency, and each cycle once."""
        for name, dependencies in self.edges.items():
            for dependency, offset in dependencies.items():
                if dependency not in self.edges:
                    diagnostics.add_error(
                        offset,
                        f'"{name}" depends on the unknown service '
                        f'"{dependency}"',
                        suggest_name(dependency, self.edges.keys()),
                    )
        finished: set[str] = set()
        for name in self.edges:
            self._find_cycles(name, finished, diagnostics)

    def _find_cycles(
        self, root: str, finished: set[str], diagnostics: DiagnosticCollector
    ) -> None:
        """Reports the cycles that a depth-first search from `root` finds."""
        if root in finished:
            return
        path = [root]
        pending_edges = [iter(self.edges[root].items())]
        while path:
            dependency, offset = next(pending_edges[-1], (None, 0))
            if dependency is None:
                finished.add(path.pop())
                pending_edges.pop()
            elif dependency in path:
                cycle = [*path[path.index(dependency) :], dependency]
                diagnostics.add_error(
                    offset,
                    f"dependency cycle: {' -> '.join(cycle)}",
                    "remove one of these dependencies",
                )
            elif dependency in self.edges and dependency not in finished:
                path.append(dependency)
                pending_edges.append(iter(self.edges[dependency].items()))
