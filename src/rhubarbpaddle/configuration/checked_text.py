"""The result of checking an operators' text."""

from typing import NamedTuple

from rhubarbpaddle.configuration.configuration import Configuration


class CheckedText(NamedTuple):
    """A valid text in checked form.

    Attributes:
        configuration: What the text states.
        warnings: A line for each statement that weakens a guarantee.
    """

    configuration: Configuration
    warnings: tuple[str, ...]
