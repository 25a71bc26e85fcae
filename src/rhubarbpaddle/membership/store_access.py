"""Whether a node can read the platform's store."""

from typing import NamedTuple


class StoreAccess(NamedTuple):
    """What a node last said about its access to the store.

    Attributes:
        node_id: The node, which alone changes this.
        incarnation: Microseconds since the epoch at the node's start.
        number: The number of changes within the incarnation.
        is_failing: Whether its reads fail.
    """

    node_id: str
    incarnation: int
    number: int
    is_failing: bool

    def supersedes(self, other: "StoreAccess") -> bool:
        """Returns whether this is newer than another of the same node."""
        own_key = self.incarnation, self.number
        return own_key > (other.incarnation, other.number)
