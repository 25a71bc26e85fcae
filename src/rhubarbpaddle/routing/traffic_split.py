"""Weighted division of a route's requests between services."""

import random

from rhubarbpaddle.configuration.route import Route


class TrafficSplit:
    """Divides requests by smooth weighted round robin.

    Each request goes to the service that is furthest behind its weight, so
    that the weights hold over short periods as well as over long ones.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, tuple[Route, list[float]]] = {}

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        previous, route_credits = self._credits.get(route.name, (None, []))
        if previous is None or previous.destinations != route.destinations:
            # Random initial values keep all nodes from beginning with the same
            # service.
            route_credits = [self._rng.random() for _ in route.destinations]
            self._credits[route.name] = (route, route_credits)
        total = sum(destination.weight for destination in route.destinations)
        for index, destination in enumerate(route.destinations):
            route_credits[index] += destination.weight / total
        chosen_index = max(
            range(len(route_credits)), key=route_credits.__getitem__
        )
        route_credits[chosen_index] -= 1.0
        return route.destinations[chosen_index].service
