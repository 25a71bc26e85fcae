"""Values of a scanned text with their places."""

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
    """A JSON value and where it starts.

    Attributes:
        offset: The index of its first character in the text.
        content: The value; arrays and objects hold values with places.
    """

    offset: int
    content: Content

    @property
    def type_description(self) -> str:
        """What an operator calls a value of this type."""
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
