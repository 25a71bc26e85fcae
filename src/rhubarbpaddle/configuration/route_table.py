"""Finds the route of a request."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import Self

from rhubarbpaddle.configuration.route import Route


class RouteTable:
    """Looks up routes by host and longest path prefix."""

    def __init__(self, routes: dict[str, dict[str, Route]]) -> None:
        """Creates a table.

        Args:
            routes: Routes by host in lower case, then by path prefix.
        """
        self._routes = routes

    @classmethod
    def from_routes(cls, routes: Iterable[Route]) -> Self:
        """Creates a table from a sequence of routes."""
        by_host: defaultdict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            by_host[route.host][route.path_prefix] = route
        return cls(dict(by_host))

    def __len__(self) -> int:
        return sum(map(len, self._routes.values()))

    def __iter__(self) -> Iterator[Route]:
        return chain.from_iterable(
            by_prefix.values() for by_prefix in self._routes.values()
        )

    def find(self, host: str, target: str) -> Route | None:
        """Returns the route with the longest prefix of the target's path.

        Every prefix ends with a slash, so only prefixes that end at a slash of
        the path are looked up.

        Args:
            host: The host that the caller requested, with or without a port.
            target: The request target in origin form.
        """
        name = host.partition(":")[0].lower()
        by_prefix = self._routes.get(name)
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
