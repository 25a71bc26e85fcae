"""Finds entries of a routing configuration that can never take effect."""

import itertools
from collections import Counter
from collections.abc import Iterator

from rhubarbpaddle.configuration.finding import Finding
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.routing_draft import RoutingDraft


def find_unreachable_entries(draft: RoutingDraft) -> Iterator[Finding]:
    """Yields a finding for each entry that no request can reach."""
    return itertools.chain(
        _find_shadowed_routes(draft),
        itertools.chain.from_iterable(map(_find_mismatches, draft.routes)),
        _find_unused_splits(draft),
        _find_unknown_services(draft),
        _find_unused_services(draft),
        _find_replaced_services(draft),
        _find_organisations_without_keys(draft),
        (
            Finding("ignored_entry", name, "nodes don't read this entry")
            for name in draft.ignored
        ),
    )


def _find_shadowed_routes(draft: RoutingDraft) -> Iterator[Finding]:
    last = {(route.host, route.path_prefix): route for route in draft.routes}
    for route in draft.routes:
        shadowing = last[route.host, route.path_prefix]
        if shadowing is not route:
            yield Finding(
                "shadowed_route",
                f"route {route.name}",
                f"route {shadowing.name} has the same host and path prefix"
                " and replaces it",
            )


def _find_mismatches(route: Route) -> Iterator[Finding]:
    subject = f"route {route.name}"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")) or "?" in prefix:
        yield Finding(
            "unmatched_prefix",
            subject,
            f"no path matches the prefix {prefix!r}; it must start and end"
            " with a slash and have no question mark",
        )
    if not route.host or ":" in route.host:
        yield Finding(
            "unmatched_host",
            subject,
            f"no request matches the host {route.host!r}; it must be a name"
            " without a port",
        )


def _find_unused_splits(draft: RoutingDraft) -> Iterator[Finding]:
    for route in draft.routes:
        for destination in route.destinations:
            if destination.weight <= 0:
                yield Finding(
                    "weightless_split",
                    f"route {route.name}",
                    f"service {destination.service} has weight"
                    f" {destination.weight:g} and gets no requests",
                )


def _find_unknown_services(draft: RoutingDraft) -> Iterator[Finding]:
    for route in draft.routes:
        for destination in route.destinations:
            if destination.service not in draft.configuration.services:
                yield Finding(
                    "unknown_service",
                    f"route {route.name}",
                    f"service {destination.service} is not defined; its"
                    " requests get 503",
                )


def _find_unused_services(draft: RoutingDraft) -> Iterator[Finding]:
    table = draft.configuration.routes
    used = {
        destination.service
        for route in draft.routes
        if table.find(route.host, route.path_prefix) == _get_effective(route)
        for destination in route.destinations
        if destination.weight > 0
    }
    for name in draft.configuration.services:
        if name not in used:
            yield Finding(
                "unused_service", f"service {name}", "no route leads to it"
            )


def _get_effective(route: Route) -> Route:
    """Returns a route as the table of a node holds it."""
    return route._replace(
        destinations=tuple(
            destination
            for destination in route.destinations
            if destination.weight > 0
        )
    )


def _find_replaced_services(draft: RoutingDraft) -> Iterator[Finding]:
    counts = Counter(limits.service for limits in draft.services)
    for name, count in counts.items():
        if count > 1:
            yield Finding(
                "replaced_service",
                f"service {name}",
                f"it is defined {count} times; only the last one counts",
            )


def _find_organisations_without_keys(draft: RoutingDraft) -> Iterator[Finding]:
    for organisation, keys in draft.organisations:
        if not keys:
            yield Finding(
                "no_key",
                f"organisation {organisation.name}",
                "it has no key, so that no request can belong to it",
            )
