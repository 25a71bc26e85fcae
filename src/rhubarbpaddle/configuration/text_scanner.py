"""Parses JSON with comments and keeps the offset of each value."""

import json
import math
import re

from rhubarbpaddle.configuration.diagnostic_collector import DiagnosticCollector
from rhubarbpaddle.configuration.text_member import TextMember
from rhubarbpaddle.configuration.text_value import TextValue

# The deepest valid text has 4 levels; the limit keeps malicious nesting from
# exhausting the stack.
_MAX_DEPTH = 16
# `int` raises an error for numbers of several thousand digits.
_MAX_NUMBER_CHARACTERS = 32

_WHITESPACE_AND_COMMENTS = re.compile(
    r"(?:[ \t\r\n\ufeff]+|//[^\n]*|/\*.*?\*/)*", re.DOTALL
)
_STRING = re.compile(r'"(?:[^"\\\x00-\x1f]|\\.)*+"')
_NUMBER = re.compile(r"-?(?:0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?")
_TOKEN = re.compile(r"[^\s,:\[\]{}\"/]+")
_CONSTANTS = {"true": True, "false": False, "null": None}


class TextScanner:
    """Recursive-descent parser for one text.

    The standard library's JSON parser reports no offsets of values.
    """

    def __init__(self, text: str, diagnostics: DiagnosticCollector) -> None:
        self._text = text
        self._diagnostics = diagnostics
        self._position = 0

    def scan(self) -> TextValue | None:
        """Parses the text as a single value.

        Returns:
            The value, or None after a syntax error, which is added to the
            diagnostics. Parsing ends at the first syntax error, because the
            text after it can't be interpreted reliably.
        """
        try:
            value = self._scan_value(0)
            if self._skip_whitespace():
                raise self._report_syntax_error(
                    "text after the end of the document",
                    "remove it, or check for an extra closing brace",
                )
        except _ScanStoppedError:
            return None
        return value

    def _scan_value(self, depth: int) -> TextValue:
        next_character = self._skip_whitespace()
        start = self._position
        if depth > _MAX_DEPTH:
            raise self._report_syntax_error(
                f"nested more than {_MAX_DEPTH} levels deep",
                "close a brace or bracket earlier",
            )
        match next_character:
            case "{":
                return TextValue(start, self._scan_object(depth))
            case "[":
                return TextValue(start, self._scan_array(depth))
            case '"':
                return TextValue(start, self._scan_string())
            case "":
                raise self._report_syntax_error(
                    "the text ends where a value is needed",
                    "add the value, or close the open braces and brackets",
                )
        return TextValue(start, self._scan_scalar())

    def _scan_object(self, depth: int) -> dict[str, TextMember]:
        members: dict[str, TextMember] = {}
        start = self._position
        self._position += 1
        while not self._consume_separator("}", start, bool(members)):
            key_offset = self._position
            if self._peek() != '"':
                raise self._report_syntax_error(
                    f"{self._describe_token()} where a key is needed",
                    'write the key in double quotes, such as "slots"',
                )
            key = self._scan_string()
            if self._skip_whitespace() != ":":
                raise self._report_syntax_error(
                    f'{self._describe_token()} after the key "{key}"',
                    "write a colon between key and value",
                )
            self._position += 1
            member = TextMember(key_offset, self._scan_value(depth + 1))
            if key in members:
                self._diagnostics.add_error(
                    key_offset,
                    f'duplicate key "{key}"',
                    "keep only one of them",
                )
            members.setdefault(key, member)
        return members

    def _scan_array(self, depth: int) -> tuple[TextValue, ...]:
        values: list[TextValue] = []
        start = self._position
        self._position += 1
        while not self._consume_separator("]", start, bool(values)):
            values.append(self._scan_value(depth + 1))
        return tuple(values)

    def _consume_separator(
        self, end: str, start: int, has_elements: bool
    ) -> bool:
        """Consumes a comma or the closing bracket.

        Args:
            end: The closing bracket or brace.
            start: The offset of the opening one, for error messages.
            has_elements: Whether an element precedes.

        Returns:
            Whether it was the closing bracket.
        """
        next_character = self._skip_whitespace()
        if next_character == "":
            opening = self._text[start]
            self._position = start
            raise self._report_syntax_error(
                f'"{opening}" is never closed', f'add the missing "{end}"'
            )
        if next_character == end:
            self._position += 1
            return True
        if not has_elements:
            return False
        if next_character != ",":
            raise self._report_syntax_error(
                f"{self._describe_token()} after a value",
                f'write a comma, or "{end}" to close',
            )
        comma = self._position
        self._position += 1
        if self._skip_whitespace() == end:
            self._position = comma
            raise self._report_syntax_error(
                f'a comma before "{end}"', "remove the comma"
            )
        return False

    def _scan_string(self) -> str:
        match = _STRING.match(self._text, self._position)
        if match is None:
            raise self._report_syntax_error(
                "a string without closing quote on its line",
                'write the closing " (and \\n for a line break)',
            )
        value = match.group()[1:-1]
        try:
            if "\\" in value:
                value = json.loads(match.group())
                value.encode()
        except ValueError as exc:
            raise self._report_syntax_error(
                "a string with an invalid escape",
                "use only the escapes of JSON",
            ) from exc
        self._position = match.end()
        return value

    def _scan_scalar(self) -> bool | int | float | None:
        match = _TOKEN.match(self._text, self._position)
        token = match.group() if match else ""
        if token in _CONSTANTS:
            self._position += len(token)
            return _CONSTANTS[token]
        number = _NUMBER.fullmatch(token)
        if number is None:
            raise self._report_syntax_error(
                f"{self._describe_token()} where a value is needed",
                "write a number, true, false, or a string in double quotes",
            )
        if len(token) > _MAX_NUMBER_CHARACTERS:
            raise self._report_syntax_error(
                "a number that is too long", "write fewer digits"
            )
        if number.lastindex is None:
            self._position += len(token)
            return int(token)
        value = float(token)
        if not math.isfinite(value):
            raise self._report_syntax_error(
                "a number that is too large", "write a smaller one"
            )
        self._position += len(token)
        return value

    def _skip_whitespace(self) -> str:
        """Skips whitespace and comments and returns the next character."""
        match = _WHITESPACE_AND_COMMENTS.match(self._text, self._position)
        assert match is not None
        self._position = match.end()
        next_character = self._peek()
        if next_character == "/" and self._text.startswith(
            "/*", self._position
        ):
            raise self._report_syntax_error(
                "a comment that is never closed", "add */"
            )
        return next_character

    def _peek(self) -> str:
        return self._text[self._position : self._position + 1]

    def _describe_token(self) -> str:
        if self._peek() == "":
            return "the end of the text"
        match = _TOKEN.match(self._text, self._position)
        return repr((match.group() if match else self._peek())[:20])

    def _report_syntax_error(self, detail: str, remedy: str) -> Exception:
        self._diagnostics.add_error(self._position, detail, remedy)
        return _ScanStoppedError()


class _ScanStoppedError(Exception):
    """Stops parsing after a syntax error was added to the diagnostics."""
