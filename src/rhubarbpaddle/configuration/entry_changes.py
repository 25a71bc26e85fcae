"""The changes between two sets of named entries."""

from collections.abc import Iterator, Mapping
from typing import Any


def iter_entry_changes(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[str]:
    """Yields a line for each entry or field that differs.

    Args:
        kind: What an entry is called.
        old: The entries before, by name, as named tuples.
        new: The entries after.
    """
    for name in sorted(old.keys() - new.keys()):
        yield f"removes {kind} {name}"
    for name in sorted(new.keys() - old.keys()):
        yield f"adds {kind} {name}"
    for name in sorted(old.keys() & new.keys()):
        yield from _iter_field_changes(kind, name, old[name], new[name])


def _iter_field_changes(
    kind: str, name: str, old: Any, new: Any
) -> Iterator[str]:
    for field, old_value in old._asdict().items():
        new_value = getattr(new, field)
        if old_value != new_value:
            yield (
                f"changes {field} of {kind} {name} "
                f"from {_format_value(old_value)} to {_format_value(new_value)}"
            )


def _format_value(value: object) -> str:
    if isinstance(value, frozenset | tuple):
        return ", ".join(sorted(map(str, value))) or "(none)"
    return str(value)
