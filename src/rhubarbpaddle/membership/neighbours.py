"""The choice of the peers that a node keeps control links to."""

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from functools import lru_cache

# Each ring adds a link to one successor and, on average, a link from one
# predecessor, so three rings give six links. The union of random rings has a
# diameter that grows with the logarithm of the number of nodes.
RINGS = 3
# This ring joins the nodes of one availability zone, so that they stay
# connected if the zone is cut off; the others join the nodes of all zones.
_ZONE_RING = 0


def choose_neighbours(own_id: str, zones: Mapping[str, str]) -> frozenset[str]:
    """Returns the successors of a node on rings of hashed node ids.

    Args:
        own_id: This node's id.
        zones: The availability zones of all possible neighbours and of this
            node, by node id.

    Returns:
        At most `RINGS` node ids. The graph of all nodes' choices is connected
        if all of them know the same nodes, and so is the part of it within each
        zone.
    """
    return frozenset(_iter_successors(own_id, zones))


def choose_missing_neighbours(
    own_id: str, alive_zones: Mapping[str, str], dead_zones: Mapping[str, str]
) -> frozenset[str]:
    """Returns the dead nodes that lie before the successors of a node.

    If one of them returns, it becomes the node's successor. Each dead node is
    missed by at least one alive node on each ring that has alive nodes.

    Args:
        own_id: This node's id.
        alive_zones: The availability zones of all possible neighbours and of
            this node, by node id.
        dead_zones: Those of the dead nodes that may return.
    """
    missing: set[str] = set()
    for ring in range(RINGS):
        others = _list_others(ring, own_id, {**dead_zones, **alive_zones})
        alive = [node_id for node_id in others if node_id in alive_zones]
        successor = _get_successor(ring, own_id, alive) if alive else own_id
        missing.update(
            node_id
            for node_id in others
            if node_id not in alive_zones
            and _get_successor(ring, own_id, [node_id, successor]) == node_id
        )
    return frozenset(missing)


def _iter_successors(own_id: str, zones: Mapping[str, str]) -> Iterator[str]:
    for ring in range(RINGS):
        others = _list_others(ring, own_id, zones)
        if others:
            yield _get_successor(ring, own_id, others)


def _list_others(ring: int, own_id: str, zones: Mapping[str, str]) -> list[str]:
    """Returns the other nodes on a ring.

    The only node of a zone uses the ring of the zone as one of all nodes.
    """
    others = [node_id for node_id in zones if node_id != own_id]
    if ring != _ZONE_RING:
        return others
    own_zone = zones[own_id]
    return [
        node_id for node_id in others if zones[node_id] == own_zone
    ] or others


def _get_successor(ring: int, own_id: str, others: Iterable[str]) -> str:
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
