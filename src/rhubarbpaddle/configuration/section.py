"""Reads and validates the members of a JSON object in a text."""

import re
from collections.abc import Callable, Collection, Iterator
from datetime import timedelta

from rhubarbpaddle.configuration.diagnostic_collector import DiagnosticCollector
from rhubarbpaddle.configuration.text_member import TextMember
from rhubarbpaddle.configuration.text_value import TextValue

HOST_LABEL = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
_LABEL_REMEDY = (
    "use 1 to 63 of a-z, 0-9 and -, starting and ending with a letter or digit"
)


class Section:
    """Reads known keys of an object and reports invalid ones.

    Each `read_` method returns the default if the key is missing or its value
    is invalid; an invalid value is added to the diagnostics. `finish` reports
    the keys that were not read.

    Attributes:
        offset: The character offset of the object in the text.
        title: How error messages refer to the object.
        diagnostics: Collects the errors and warnings.
    """

    def __init__(
        self, value: TextValue, title: str, diagnostics: DiagnosticCollector
    ) -> None:
        self.offset = value.offset
        self.title = title
        self.diagnostics = diagnostics
        self._read_names: list[str] = []
        self._members: dict[str, TextMember] = {}
        if isinstance(value.content, dict):
            self._members = value.content
        else:
            diagnostics.add_error(
                value.offset,
                f"{title} is {value.type_description}",
                "write an object in braces",
            )

    def get_offset(self, name: str) -> int:
        """Returns the offset of a key's value, or of the section if missing."""
        member = self._members.get(name)
        return member.value.offset if member else self.offset

    def read_section(self, name: str) -> "Section | None":
        """Reads a nested object, or None if the key is missing."""
        member = self._read_member(name)
        if member is None:
            return None
        return Section(member.value, f'"{name}"', self.diagnostics)

    def read_named_sections(
        self, entry_type: str
    ) -> Iterator[tuple[str, "Section"]]:
        """Reads all members as sections whose keys must be host labels.

        Args:
            entry_type: What one entry is called in error messages.
        """
        for name, member in self._members.items():
            self._read_names.append(name)
            if not HOST_LABEL.fullmatch(name):
                self.diagnostics.add_error(
                    member.key_offset,
                    f"the {entry_type} {name!r} is not a valid host label",
                    _LABEL_REMEDY,
                )
            title = f'{entry_type} "{name}"'
            yield name, Section(member.value, title, self.diagnostics)

    def require(self, *names: str) -> None:
        """Reports all missing keys as one error."""
        missing = [f'"{n}"' for n in names if n not in self._members]
        if missing:
            self.diagnostics.add_error(
                self.offset,
                f"missing in {self.title}: {', '.join(missing)}",
                "add the missing keys",
            )

    def read_bool(self, name: str, default: bool) -> bool:
        """Reads `true` or `false`."""
        member = self._read_member(name)
        if member is None:
            return default
        if isinstance(member.value.content, bool):
            return member.value.content
        self._report_wrong_type(name, member.value, "write true or false")
        return default

    def read_int(self, name: str, default: int, low: int, high: int) -> int:
        """Reads a whole number from `low` to `high`."""
        member = self._read_member(name)
        if member is None:
            return default
        content = member.value.content
        remedy = f"write a whole number from {low} to {high}"
        if isinstance(content, int) and not isinstance(content, bool):
            if low <= content <= high:
                return content
            self._report_invalid_value(name, member.value, remedy)
        else:
            self._report_wrong_type(name, member.value, remedy)
        return default

    def read_float(
        self, name: str, default: float, low: float, high: float
    ) -> float:
        """Reads a number from `low` to `high`."""
        member = self._read_member(name)
        if member is None:
            return default
        content = member.value.content
        remedy = f"write a number from {low:g} to {high:g}"
        if isinstance(content, int | float) and not isinstance(content, bool):
            if low <= content <= high:
                return float(content)
            self._report_invalid_value(name, member.value, remedy)
        else:
            self._report_wrong_type(name, member.value, remedy)
        return default

    def read_duration(
        self,
        name: str,
        default: timedelta,
        unit: timedelta,
        low: int,
        high: int,
    ) -> timedelta:
        """Reads a duration given as a whole number of units.

        Args:
            name: The key.
            default: The value if the key is missing.
            unit: The unit of the number in the text.
            low: The least number of units.
            high: The greatest number of units.
        """
        return self.read_int(name, default // unit, low, high) * unit

    def read_string(
        self,
        name: str,
        default: str,
        validate: Callable[[str], str | None] = lambda _: None,
    ) -> str:
        """Reads a string.

        Args:
            name: The key.
            default: The value if the key is missing.
            validate: Returns a suggested fix for an invalid string, or None if
                the string is valid.
        """
        member = self._read_member(name)
        if member is None:
            return default
        if not isinstance(member.value.content, str):
            self._report_wrong_type(name, member.value, "write a string")
        elif remedy := validate(member.value.content):
            self._report_invalid_value(name, member.value, remedy)
        else:
            return member.value.content
        return default

    def read_strings(
        self,
        name: str,
        default: Collection[str],
        validate: Callable[[str], str | None] = lambda _: None,
    ) -> dict[str, int]:
        """Reads a list of distinct strings.

        Args:
            name: The key.
            default: The strings if the key is missing.
            validate: Returns a suggested fix for an invalid string, or None if
                the string is valid.

        Returns:
            Each string with its offset in the text.
        """
        member = self._read_member(name)
        if member is None:
            return dict.fromkeys(default, self.offset)
        if not isinstance(member.value.content, tuple):
            self._report_wrong_type(
                name, member.value, "write a list of strings"
            )
            return {}
        strings: dict[str, int] = {}
        for value in member.value.content:
            if not isinstance(value.content, str):
                self._report_wrong_type(
                    name, value, "write only strings in the list"
                )
            elif remedy := validate(value.content):
                self._report_invalid_value(name, value, remedy)
            elif value.content in strings:
                self.diagnostics.add_error(
                    value.offset,
                    f'"{value.content}" is listed twice',
                    "keep only one of them",
                )
            else:
                strings[value.content] = value.offset
        return strings

    def finish(self) -> None:
        """Reports keys that were not read and suggests a similar known key."""
        for name, member in self._members.items():
            if name not in self._read_names:
                self.diagnostics.add_error(
                    member.key_offset,
                    f'unknown key "{name}" in {self.title}',
                    suggest_name(name, self._read_names),
                )

    def _read_member(self, name: str) -> TextMember | None:
        self._read_names.append(name)
        return self._members.get(name)

    def _report_wrong_type(
        self, name: str, value: TextValue, remedy: str
    ) -> None:
        detail = f'"{name}" of {self.title} is {value.type_description}'
        self.diagnostics.add_error(value.offset, detail, remedy)

    def _report_invalid_value(
        self, name: str, value: TextValue, remedy: str
    ) -> None:
        detail = f'"{name}" of {self.title} is {value.content!r}'
        self.diagnostics.add_error(value.offset, detail, remedy)


def suggest_name(name: str, known_names: Collection[str]) -> str:
    """Returns a suggestion for an unknown name."""
    # Imported on demand: the module takes 0.2 MB of memory, which a node with
    # valid settings does not need.
    import difflib

    similar_names = difflib.get_close_matches(name, known_names, n=1)
    if similar_names:
        return f'did you mean "{similar_names[0]}"?'
    return f"use one of: {', '.join(sorted(known_names)) or '(none)'}"
