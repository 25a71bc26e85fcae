"""How many services depend on the answer to a request."""

from collections import defaultdict
from typing import Self

from rhubarbpaddle.configuration import Configuration


class CriticalityTable:
    """Knows who depends on whom, by the operators' text.

    An upstream that calls another service names its own service in the header
    `Rhubarbpaddle-Calling-Service`, which travels with the request. A request
    has the criticality 0 without that header or if the text does not list the
    called service among the caller's dependencies, so that a caller can't
    raise itself. Otherwise it is 1 plus the number of services that depend on
    the calling service, directly or through others.
    """

    def __init__(self, dependents: dict[str, frozenset[str]]) -> None:
        """Makes a table.

        Args:
            dependents: The services that call each service directly.
        """
        self._dependents = dependents
        self._ranks = {
            name: 1 + len(self._close(name) - {name}) for name in dependents
        }

    @classmethod
    def from_config(cls, configuration: Configuration) -> Self:
        """Makes the table for a configuration."""
        dependents: defaultdict[str, set[str]] = defaultdict(set)
        for service in configuration.services.values():
            dependents[service.name].update()
            for name in service.depends_on:
                dependents[name].add(service.name)
        return cls({k: frozenset(v) for k, v in dependents.items()})

    def get(self, service: str, calling_service: str) -> int:
        """Returns the criticality of a call from one service to another."""
        if calling_service not in self._dependents.get(service, ()):
            return 0
        return self._ranks[calling_service]

    def _close(self, name: str) -> set[str]:
        found: set[str] = set()
        pending = [name]
        while pending:
            for dependent in self._dependents.get(pending.pop(), ()):
                if dependent not in found:
                    found.add(dependent)
                    pending.append(dependent)
        return found
