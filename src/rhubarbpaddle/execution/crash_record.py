"""One crash that a request is suspected of."""

from typing import NamedTuple


class CrashRecord(NamedTuple):
    """A crash of one upstream while it ran a request.

    Attributes:
        node_id: The node beside the upstream.
        at: Microseconds since the epoch on that node, unique there.
    """

    node_id: str
    at: int
