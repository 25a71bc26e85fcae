"""The result of validating a configuration text."""

from typing import NamedTuple

from rhubarbpaddle.configuration.configuration import Configuration


class CheckedText(NamedTuple):
    """A valid configuration with the warnings about it.

    Attributes:
        configuration: The parsed configuration.
        warnings: One line for each setting that weakens a guarantee.
    """

    configuration: Configuration
    warnings: tuple[str, ...]
