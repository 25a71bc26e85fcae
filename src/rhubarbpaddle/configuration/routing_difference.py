"""The difference between two routing configurations."""

import itertools
from collections import Counter
from collections.abc import Collection, Iterable, Iterator

from rhubarbpaddle.configuration.entry_changes import iter_entry_changes
from rhubarbpaddle.configuration.finding import Finding
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.routing_draft import RoutingDraft

_LIMIT_FIELDS = ("head_bytes", "body_bytes", "head_timeout", "idle_timeout")


def iter_routing_changes(
    before: RoutingDraft, after: RoutingDraft
) -> Iterator[str]:
    """Yields a line for each change that takes effect, routes first.

    Keys are not shown.
    """
    old, new = before.configuration, after.configuration
    shared_names = _find_shared_names(old.routes) | _find_shared_names(
        new.routes
    )
    return itertools.chain(
        iter_entry_changes(
            "route",
            _index_routes(old.routes, shared_names),
            _index_routes(new.routes, shared_names),
        ),
        iter_entry_changes("service", old.services, new.services),
        iter_entry_changes(
            "organisation",
            {entry.name: entry for entry in old.organisations},
            {entry.name: entry for entry in new.organisations},
        ),
        _iter_key_changes(before, after),
        (
            f"changes {field} from {getattr(old, field)}"
            f" to {getattr(new, field)}"
            for field in _LIMIT_FIELDS
            if getattr(old, field) != getattr(new, field)
        ),
    )


def find_version_conflict(
    before: RoutingDraft, after: RoutingDraft
) -> Iterator[Finding]:
    """Yields a finding if a different configuration has no higher version."""
    old, new = before.configuration.version, after.configuration.version
    if new <= old and next(iter_routing_changes(before, after), None):
        yield Finding(
            "version_not_higher",
            f"version {new}",
            f"version {old} is in force; versions must increase",
        )


def _find_shared_names(routes: Iterable[Route]) -> set[str]:
    """Returns the names that several routes have, which nodes permit."""
    counts = Counter(route.name for route in routes)
    return {name for name, count in counts.items() if count > 1}


def _index_routes(
    routes: Iterable[Route], shared_names: Collection[str]
) -> dict[str, Route]:
    """Returns routes by name, with host and path if the name is shared."""
    return {
        f"{route.name} ({route.host}{route.path_prefix})"
        if route.name in shared_names
        else route.name: route
        for route in routes
    }


def _iter_key_changes(
    before: RoutingDraft, after: RoutingDraft
) -> Iterator[str]:
    old = {entry.name: keys for entry, keys in before.organisations}
    for organisation, keys in after.organisations:
        old_keys = old.get(organisation.name, keys)
        if keys != old_keys:
            yield (
                f"changes the keys of organisation {organisation.name}:"
                f" {len(keys - old_keys)} added,"
                f" {len(old_keys - keys)} removed"
            )
