"""Weighted division of a route's requests between services."""

import random

from rhubarbpaddle.configuration import Route


class TrafficSplit:
    """Divides requests by smooth weighted round robin.

    Each request goes to the part that is furthest behind its weight, so that
    the weights hold over short periods as well as over long ones.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._debts: dict[str, tuple[Route, list[float]]] = {}

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        held, debts = self._debts.get(route.name, (None, []))
        if held is None or held.parts != route.parts:
            # With random initial values, nodes don't all begin with the same
            # part.
            debts = [self._rng.random() for _ in route.parts]
            self._debts[route.name] = (route, debts)
        total = sum(part.weight for part in route.parts)
        for index, part in enumerate(route.parts):
            debts[index] += part.weight / total
        chosen = max(range(len(debts)), key=debts.__getitem__)
        debts[chosen] -= 1.0
        return route.parts[chosen].service
