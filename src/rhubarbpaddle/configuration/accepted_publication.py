"""The publication behind a configuration version."""

from typing import NamedTuple


class AcceptedPublication(NamedTuple):
    """Identifies a publication that replay of the log accepted.

    Attributes:
        id: The publication's id.
        publisher: The name of the operator or tool that published it.
        offset: The log offset of its record.
        version: The configuration version that it created.
    """

    id: str
    publisher: str
    offset: int
    version: int
