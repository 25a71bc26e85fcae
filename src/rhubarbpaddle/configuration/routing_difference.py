"""The difference between two routing configurations."""

import itertools
from collections.abc import Iterator

from rhubarbpaddle.configuration.entry_changes import iter_entry_changes
from rhubarbpaddle.configuration.finding import Finding
from rhubarbpaddle.configuration.routing_draft import RoutingDraft

_LIMIT_FIELDS = ("head_bytes", "body_bytes", "head_timeout", "idle_timeout")


def iter_routing_changes(
    before: RoutingDraft, after: RoutingDraft
) -> Iterator[str]:
    """Yields a line for each change that takes effect, routes first.

    Keys are not shown.
    """
    old, new = before.configuration, after.configuration
    return itertools.chain(
        iter_entry_changes(
            "route",
            {route.name: route for route in old.routes},
            {route.name: route for route in new.routes},
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
