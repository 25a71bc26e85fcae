"""A configuration that the log's order has accepted."""

from typing import NamedTuple

from rhubarbpaddle.configuration.configuration import Configuration


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
