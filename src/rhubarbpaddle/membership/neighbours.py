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


def _iter_successors(own_id: str, others: list[str]) -> Iterator[str]:
    if not others:
        return
    for ring in range(RINGS):
        own_position = _get_position(ring, own_id)
        yield min(
            others,
            key=lambda other, ring=ring, own_position=own_position: (  # type: ignore[misc]
                _get_position(ring, other) <= own_position,
                _get_position(ring, other),
            ),
        )


@lru_cache(maxsize=8192)
def _get_position(ring: int, node_id: str) -> bytes:
    key = f"{ring} {node_id}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
