"""Counts of an instance's responses to the requests of one route."""

from typing import NamedTuple


class RouteCounts(NamedTuple):
    """Responses of one route since the node's start.

    Attributes:
        route: The route.
        responses: The number of requests that ended at the instance.
        failures: How many of them failed.
        latencies: How many responses took a certain time: pairs of a latency
            bucket and a count, in ascending order. It has fewer responses than
            `responses`, because those of a cold instance are left out.
    """

    route: str
    responses: int
    failures: int
    latencies: tuple[tuple[int, int], ...]
