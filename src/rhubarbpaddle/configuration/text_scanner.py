"""JSON with comments, scanned with the place of each value."""

import json
import math
import re

from rhubarbpaddle.configuration.findings import Findings
from rhubarbpaddle.configuration.text_member import TextMember
from rhubarbpaddle.configuration.text_value import TextValue

# The deepest valid text has 4 levels; the limit keeps hostile nesting from
# exhausting the stack.
_MAX_DEPTH = 16
# `int` refuses numbers of several thousand digits.
_MAX_NUMBER_CHARACTERS = 32

_BLANK = re.compile(r"(?:[ \t\r\n\ufeff]+|//[^\n]*|/\*.*?\*/)*", re.DOTALL)
_STRING = re.compile(r'"(?:[^"\\\x00-\x1f]|\\.)*+"')
_NUMBER = re.compile(r"-?(?:0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?")
_WORD = re.compile(r"[^\s,:\[\]{}\"/]+")
_CONSTANTS = {"true": True, "false": False, "null": None}


class TextScanner:
    """Scans one text; the standard library's parser keeps no places."""

    def __init__(self, text: str, findings: Findings) -> None:
        self._text = text
        self._findings = findings
        self._at = 0

    def scan(self) -> TextValue | None:
        """Returns the text's only value.

        Returns:
            The value, or None if the text is not JSON with comments; then a
            problem was added to the findings. The scan ends at the first
            error of syntax, since what follows it would be guessed.
        """
        try:
            value = self._scan_value(0)
            if self._skip_blank():
                raise self._fail(
                    "text after the end of the document",
                    "remove it, or check for a closing brace too many",
                )
        except _SyntaxFoundError:
            return None
        return value

    def _scan_value(self, depth: int) -> TextValue:
        following = self._skip_blank()
        start = self._at
        if depth > _MAX_DEPTH:
            raise self._fail(
                f"nested more than {_MAX_DEPTH} levels deep",
                "close a brace or bracket earlier",
            )
        match following:
            case "{":
                return TextValue(start, self._scan_object(depth))
            case "[":
                return TextValue(start, self._scan_array(depth))
            case '"':
                return TextValue(start, self._scan_string())
            case "":
                raise self._fail(
                    "the text ends where a value is needed",
                    "add the value, or close what is open",
                )
        return TextValue(start, self._scan_scalar())

    def _scan_object(self, depth: int) -> dict[str, TextMember]:
        members: dict[str, TextMember] = {}
        start = self._at
        self._at += 1
        while not self._take_end("}", start, bool(members)):
            key_offset = self._at
            if self._peek() != '"':
                raise self._fail(
                    f"{self._describe()} where a key is needed",
                    'write the key in double quotes, such as "slots"',
                )
            key = self._scan_string()
            if self._skip_blank() != ":":
                raise self._fail(
                    f'{self._describe()} after the key "{key}"',
                    "write a colon between key and value",
                )
            self._at += 1
            member = TextMember(key_offset, self._scan_value(depth + 1))
            if key in members:
                self._findings.add_problem(
                    key_offset,
                    f'duplicate key "{key}"',
                    "keep only one of them",
                )
            members.setdefault(key, member)
        return members

    def _scan_array(self, depth: int) -> tuple[TextValue, ...]:
        values: list[TextValue] = []
        start = self._at
        self._at += 1
        while not self._take_end("]", start, bool(values)):
            values.append(self._scan_value(depth + 1))
        return tuple(values)

    def _take_end(self, end: str, start: int, has_elements: bool) -> bool:
        """Moves over a comma or the end; returns whether it was the end."""
        following = self._skip_blank()
        if following == "":
            opened = self._text[start]
            self._at = start
            raise self._fail(
                f'"{opened}" is never closed', f'add the missing "{end}"'
            )
        if following == end:
            self._at += 1
            return True
        if not has_elements:
            return False
        if following != ",":
            raise self._fail(
                f"{self._describe()} after a value",
                f'write a comma, or "{end}" to close',
            )
        comma = self._at
        self._at += 1
        if self._skip_blank() == end:
            self._at = comma
            raise self._fail(f'a comma before "{end}"', "remove the comma")
        return False

    def _scan_string(self) -> str:
        match = _STRING.match(self._text, self._at)
        if match is None:
            raise self._fail(
                "a string without closing quote on its line",
                'write the closing " (and \\n for a line break)',
            )
        value = match.group()[1:-1]
        try:
            if "\\" in value:
                value = json.loads(match.group())
                value.encode()
        except ValueError as exc:
            raise self._fail(
                "a string with an invalid escape",
                "use only the escapes of JSON",
            ) from exc
        self._at = match.end()
        return value

    def _scan_scalar(self) -> bool | int | float | None:
        match = _WORD.match(self._text, self._at)
        word = match.group() if match else ""
        if word in _CONSTANTS:
            self._at += len(word)
            return _CONSTANTS[word]
        number = _NUMBER.fullmatch(word)
        if number is None:
            raise self._fail(
                f"{self._describe()} where a value is needed",
                "write a number, true, false, or a string in double quotes",
            )
        if len(word) > _MAX_NUMBER_CHARACTERS:
            raise self._fail("a number that is too long", "write fewer digits")
        if number.lastindex is None:
            self._at += len(word)
            return int(word)
        value = float(word)
        if not math.isfinite(value):
            raise self._fail(
                "a number that is too large", "write a smaller one"
            )
        self._at += len(word)
        return value

    def _skip_blank(self) -> str:
        """Moves to the next character that matters and returns it."""
        match = _BLANK.match(self._text, self._at)
        assert match is not None
        self._at = match.end()
        following = self._peek()
        if following == "/" and self._text.startswith("/*", self._at):
            raise self._fail("a comment that is never closed", "add */")
        return following

    def _peek(self) -> str:
        return self._text[self._at : self._at + 1]

    def _describe(self) -> str:
        if self._peek() == "":
            return "the end of the text"
        match = _WORD.match(self._text, self._at)
        return repr((match.group() if match else self._peek())[:20])

    def _fail(self, detail: str, remedy: str) -> Exception:
        self._findings.add_problem(self._at, detail, remedy)
        return _SyntaxFoundError()


class _SyntaxFoundError(Exception):
    """Ends the scan of a text after an error of syntax was recorded."""
