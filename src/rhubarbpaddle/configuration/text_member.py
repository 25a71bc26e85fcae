"""A member of an object in a text."""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rhubarbpaddle.configuration.text_value import TextValue


class TextMember(NamedTuple):
    """A value of an object and where its key starts."""

    key_offset: int
    value: "TextValue"
