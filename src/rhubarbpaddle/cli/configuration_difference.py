"""The difference between two configurations, shown before publishing."""

import difflib
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, Self

from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.entry_changes import iter_entry_changes
from rhubarbpaddle.configuration.service import Service

_EMPTY_CONFIGURATION = Configuration({}, {}, {})


class ConfigurationDifference(NamedTuple):
    """The difference between the configuration in force and a new one.

    Attributes:
        lines: A unified diff of the configuration texts.
        summary: One line for each semantic change, the most severe first:
            availability zones, then services, then organisations.
    """

    lines: tuple[str, ...]
    summary: tuple[str, ...]

    @classmethod
    def between(
        cls,
        accepted: AcceptedConfiguration | None,
        text: str,
        configuration: Configuration,
    ) -> Self:
        """Compares a new configuration with the one in force.

        Args:
            accepted: The configuration in force, or None.
            text: The new configuration text.
            configuration: The parsed form of the text.
        """
        lines = difflib.unified_diff(
            accepted.text.splitlines() if accepted else [],
            text.splitlines(),
            f"version {accepted.version if accepted else 0}",
            "new",
            lineterm="",
        )
        before = accepted.configuration if accepted else _EMPTY_CONFIGURATION
        summary = (
            *_compare_zones(before, configuration),
            *_compare("service", before.services, configuration.services),
            *_compare(
                "tenant", before.organisations, configuration.organisations
            ),
        )
        return cls(tuple(lines), summary or ("makes no semantic change",))


def _compare_zones(
    before: Configuration, after: Configuration
) -> Iterator[str]:
    old, new = before.availability_zones, after.availability_zones
    for name in sorted({*old, *new}):
        zone = f"availability zone {name}"
        was_active, is_active = (
            before.is_in_service(name),
            after.is_in_service(name),
        )
        if name not in new:
            yield f"removes {zone}; its nodes get no new work"
        elif name not in old:
            yield f"adds {zone}{'' if is_active else ', out of service'}"
        elif was_active and not is_active:
            yield f"takes {zone} out of service"
        elif is_active and not was_active:
            yield f"puts {zone} back into service"
        if name in old and name in new and old[name].region != new[name].region:
            yield f"moves {zone} to region {new[name].region}"


def _compare(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[str]:
    yield from iter_entry_changes(kind, old, new)
    for name in sorted(old.keys() & new.keys()):
        if isinstance(new[name], Service) and (
            old[name].key_required and not new[name].key_required
        ):
            yield f"lets requests of {name} without a key run twice"
