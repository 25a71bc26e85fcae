"""Which publication a version comes from."""

from typing import NamedTuple


class AcceptedPublication(NamedTuple):
    """A publication that replay has accepted.

    Attributes:
        id: The publication's id.
        publisher: Who published it.
        offset: Its place in the log.
        version: The version that it became.
    """

    id: str
    publisher: str
    offset: int
    version: int
