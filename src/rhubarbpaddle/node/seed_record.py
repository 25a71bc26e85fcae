"""A record of a node's address in the log."""

from typing import TypedDict


class SeedRecord(TypedDict):
    """A record of the `membership` stream, which lists addresses of nodes."""

    node_id: str
    peer_address: str
