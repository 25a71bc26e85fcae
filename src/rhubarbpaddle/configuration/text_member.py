"""A member of a JSON object in a text."""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rhubarbpaddle.configuration.text_value import TextValue


class TextMember(NamedTuple):
    """A member's value and the character offset of its key."""

    key_offset: int
    value: "TextValue"
