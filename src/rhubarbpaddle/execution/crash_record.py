"""The record of one crash that a request is suspected of."""

from typing import NamedTuple


class CrashRecord(NamedTuple):
    """Records a crash of one upstream while it ran a request.

    Attributes:
        node_id: The node beside the upstream.
        recorded_at: When that node recorded the crash, in microseconds since
            the epoch; unique on that node.
    """

    node_id: str
    recorded_at: int
