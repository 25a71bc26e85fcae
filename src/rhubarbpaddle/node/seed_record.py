"""An entry of the stream of node addresses."""

from typing import TypedDict


class SeedRecord(TypedDict):
    """A record of the `membership` stream."""

    node_id: str
    peer_address: str
