"""A configuration accepted by replay of the log."""

import hashlib
from typing import NamedTuple, Self

from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.configuration.text import parse_configuration


class AcceptedConfiguration(NamedTuple):
    """The configuration in force, with its version and source text.

    Attributes:
        version: The number of accepted publications up to this one, from 1.
        digest: The SHA-256 digest of the text, in hexadecimal.
        text: The configuration text as published.
        as_of: The log offset up to and including which no newer configuration
            has been accepted.
        configuration: The parsed and validated text.
    """

    version: int
    digest: str
    text: str
    as_of: int
    configuration: Configuration

    @property
    def state_version(self) -> StateVersion:
        """The version as nodes compare it; the product's log has one era."""
        return StateVersion(0, self.version)

    @classmethod
    def from_text(cls, version: int, text: str, as_of: int) -> Self:
        """Creates an accepted configuration from a log record or a peer's text.

        Args:
            version: The version that the text was accepted as.
            text: The configuration text as published.
            as_of: The log offset up to which the source had replayed.

        Raises:
            ConfigurationError: The text is invalid.
        """
        configuration = parse_configuration(text)
        digest = hashlib.sha256(text.encode()).hexdigest()
        return cls(version, digest, text, as_of, configuration)
