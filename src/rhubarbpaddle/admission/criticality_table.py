"""The criticality of requests, derived from service dependencies."""

from collections import defaultdict
from typing import Self

from rhubarbpaddle.configuration.configuration import Configuration


class CriticalityTable:
    """Ranks calls between services by the number of dependent services.

    An upstream that calls another service names its own service in the header
    `Rhubarbpaddle-Calling-Service`, which is forwarded with the request. The
    criticality is 0 without that header, or if the configuration does not
    list the called service among the calling service's dependencies: a caller
    can't raise its own criticality. Otherwise it is 1 plus the number of
    services that depend on the calling service, directly or transitively.
    """

    def __init__(self, dependents: dict[str, frozenset[str]]) -> None:
        """Creates a table.

        Args:
            dependents: For each service, the services that depend on it
                directly.
        """
        self._dependents = dependents
        self._ranks = {
            name: 1 + len(self._find_all_dependents(name) - {name})
            for name in dependents
        }

    @classmethod
    def from_config(cls, configuration: Configuration) -> Self:
        """Creates the table for a configuration."""
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

    def _find_all_dependents(self, name: str) -> set[str]:
        all_dependents: set[str] = set()
        pending = [name]
        while pending:
            for dependent in self._dependents.get(pending.pop(), ()):
                if dependent not in all_dependents:
                    all_dependents.add(dependent)
                    pending.append(dependent)
        return all_dependents
