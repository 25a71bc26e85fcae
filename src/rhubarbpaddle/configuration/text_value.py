"""Parsed JSON values with their offsets in the text."""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from rhubarbpaddle.configuration.text_member import TextMember

Content: TypeAlias = (
    str
    | int
    | float
    | bool
    | tuple["TextValue", ...]
    | Mapping[str, "TextMember"]
    | None
)


class TextValue(NamedTuple):
    """A JSON value and its offset in the text.

    Attributes:
        offset: The offset of its first character in the text.
        content: The value; elements of arrays and members of objects have
            their own offsets.
    """

    offset: int
    content: Content

    @property
    def type_description(self) -> str:
        """The value's type in words, for error messages."""
        match self.content:
            case None:
                return "null"
            case bool():
                return "true or false"
            case int():
                return "a whole number"
            case float():
                return "a number"
            case str():
                return "a string"
            case tuple():
                return "a list"
        return "an object"
