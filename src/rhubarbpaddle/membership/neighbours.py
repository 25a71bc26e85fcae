"""The choice of the peers that a node keeps control links to."""

import hashlib
from collections.abc import Iterable, Iterator
from functools import lru_cache

# Each ring adds a link to one successor and, on average, a link from one
# predecessor, so three rings give six links. The union of random rings has a
# diameter that grows with the logarithm of the number of nodes.
RINGS = 3


def choose_neighbours(own_id: str, node_ids: Iterable[str]) -> frozenset[str]:
    """Returns the successors of a node on rings of hashed node ids.

    Args:
        own_id: This node's id.
        node_ids: The ids of all possible neighbours; may contain `own_id`.

    Returns:
        At most `RINGS` node ids. The graph of all nodes' choices is connected
        if all of them know the same nodes.
    """
    others = [node_id for node_id in node_ids if node_id != own_id]
    return frozenset(_iter_successors(own_id, others))


def choose_missing_neighbours(
    own_id: str, alive_ids: Iterable[str], dead_ids: Iterable[str]
) -> frozenset[str]:
    """Returns the dead nodes that lie before the successors of a node.

    If one of them returns, it becomes the node's successor. Each dead node is
    missed by at least one alive node on each ring.

    Args:
        own_id: This node's id.
        alive_ids: The ids of all possible neighbours; may contain `own_id`.
        dead_ids: The ids of nodes that may return.
    """
    alive = [node_id for node_id in alive_ids if node_id != own_id]
    dead = [node_id for node_id in dead_ids if node_id != own_id]
    missing: set[str] = set()
    for ring in range(RINGS):
        successor = _get_successor(ring, own_id, alive) if alive else own_id
        missing.update(
            node_id
            for node_id in dead
            if _get_successor(ring, own_id, [node_id, successor]) == node_id
        )
    return frozenset(missing)


def _iter_successors(own_id: str, others: list[str]) -> Iterator[str]:
    if others:
        for ring in range(RINGS):
            yield _get_successor(ring, own_id, others)


def _get_successor(ring: int, own_id: str, others: list[str]) -> str:
    """Returns the node that follows on a ring."""
    own_position = _get_position(ring, own_id)

    def get_sort_key(other: str) -> tuple[bool, bytes]:
        position = _get_position(ring, other)
        return position <= own_position, position

    return min(others, key=get_sort_key)


@lru_cache(maxsize=8192)
def _get_position(ring: int, node_id: str) -> bytes:
    key = f"{ring} {node_id}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
