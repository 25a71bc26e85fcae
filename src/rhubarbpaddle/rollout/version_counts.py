"""Cumulative counts of one version, by availability zone and route."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Self

from rhubarbpaddle.rollout.count_report import CountReport
from rhubarbpaddle.rollout.route_counts import RouteCounts

ZoneRoute = tuple[str, str]


class VersionCounts(NamedTuple):
    """Counts of all instances of one version or group of versions.

    Attributes:
        by_route: The counts by availability zone and route.
    """

    by_route: Mapping[ZoneRoute, RouteCounts]

    @classmethod
    def from_reports(cls, reports: Iterable[CountReport]) -> Self:
        """Adds up the newest reports of all nodes."""
        counts: dict[ZoneRoute, RouteCounts] = {}
        for report in reports:
            for route in report.routes:
                key = report.availability_zone, route.route
                counts[key] = _add(counts.get(key), route, 1)
        return cls(counts)

    def subtract(self, earlier: "VersionCounts") -> "VersionCounts":
        """Returns what was counted since an earlier state."""
        return VersionCounts(
            {
                key: _add(counts, earlier.by_route[key], -1)
                if key in earlier.by_route
                else counts
                for key, counts in self.by_route.items()
            }
        )

    def get_routes(self) -> list[str]:
        """Returns the names of all routes."""
        return sorted({route for _, route in self.by_route})

    def get_total(self, route: str, zone: str | None = None) -> RouteCounts:
        """Returns the counts of a route in one zone or in all zones."""
        total = RouteCounts(route, 0, 0, ())
        for (counted_zone, counted_route), counts in self.by_route.items():
            if counted_route == route and zone in (None, counted_zone):
                total = _add(total, counts, 1)
        return total

    def get_zones(self, route: str) -> list[str]:
        """Returns the zones in which a route has had responses."""
        return sorted(
            zone
            for (zone, counted_route), counts in self.by_route.items()
            if counted_route == route and counts.responses
        )

    def count_responses(self) -> int:
        """Returns the number of all responses."""
        return sum(counts.responses for counts in self.by_route.values())

    def count_failures(self) -> int:
        """Returns the number of all failures."""
        return sum(counts.failures for counts in self.by_route.values())

    def count_by_zone(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of responses and of failures of each zone."""
        totals: dict[str, tuple[int, int]] = {}
        for (zone, _), counts in self.by_route.items():
            responses, failures = totals.get(zone, (0, 0))
            totals[zone] = (
                responses + counts.responses,
                failures + counts.failures,
            )
        return totals

    def count_latencies(self) -> int:
        """Returns the number of all responses with a known latency."""
        return sum(
            count
            for counts in self.by_route.values()
            for _, count in counts.latencies
        )


def _add(
    first: RouteCounts | None, second: RouteCounts, sign: int
) -> RouteCounts:
    if first is None:
        return second
    latencies = dict(first.latencies)
    for bucket, count in second.latencies:
        latencies[bucket] = latencies.get(bucket, 0) + sign * count
    # A report of an earlier incarnation may have been dropped since, so that
    # a difference could be negative.
    return RouteCounts(
        first.route,
        max(0, first.responses + sign * second.responses),
        max(0, first.failures + sign * second.failures),
        tuple(
            sorted(
                (bucket, count)
                for bucket, count in latencies.items()
                if count > 0
            )
        ),
    )
