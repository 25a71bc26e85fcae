"""A configuration that the log's order has accepted."""

import hashlib
from typing import NamedTuple, Self

from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.text import parse_configuration


class AcceptedConfiguration(NamedTuple):
    """The configuration in force and where it comes from.

    Attributes:
        version: Counts accepted publications, from 1.
        digest: SHA-256 of the text, in hex.
        text: The operators' text as published.
        as_of: The log offset through which this is known to be the newest.
        configuration: The checked form of the text.
    """

    version: int
    digest: str
    text: str
    as_of: int
    configuration: Configuration

    @classmethod
    def from_text(cls, version: int, text: str, as_of: int) -> Self:
        """Makes an accepted configuration from what a record or peer says.

        Raises:
            ConfigurationError: The text is invalid.
        """
        configuration = parse_configuration(text)
        digest = hashlib.sha256(text.encode()).hexdigest()
        return cls(version, digest, text, as_of, configuration)
