"""The choice of the peers that a node keeps control links to."""

import hashlib
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from functools import lru_cache
from heapq import nsmallest

# Each ring adds a link to one successor and, on average, a link from one
# predecessor, so three rings give six links. The union of random rings has a
# diameter that grows with the logarithm of the number of nodes.
RINGS = 3
# These rings join all nodes of a zone, so that they stay connected if the zone
# is cut off or some of them are lost.
_ZONE_RINGS = (0, 1)
# This ring joins the nodes of a zone that are no bridges.
_INNER_RING = 2
# This ring chooses the bridges of a zone, and which of them are linked.
_BRIDGE_RING = 3
# Each change of a member crosses each link between zones. With a link from each
# node, the bytes between zones would grow with the square of the fleet.
_MIN_BRIDGES = 4
# At least this many links leave a zone, however few zones there are.
_MIN_LINKS_BETWEEN_ZONES = 8
# Missing neighbours are looked for on the ring of the zone and on rings of all
# nodes, so that a zone without alive nodes is found again by the others.
_MISSING_ZONE_RING = 0


def choose_neighbours(own_id: str, zones: Mapping[str, str]) -> frozenset[str]:
    """Returns the nodes that a node opens links to.

    These are its successors on rings of the hashed ids in its zone. A few nodes
    of each zone, its bridges, have links to the bridges of the other zones.

    Args:
        own_id: This node's id.
        zones: The availability zones of all possible neighbours and of this
            node, by node id.

    Returns:
        The node ids. The graph of all nodes' choices is connected if all of
        them know the same nodes, and so is the part of it within each zone.
    """
    nodes_by_zone: defaultdict[str, list[str]] = defaultdict(list)
    for node_id, zone in zones.items():
        nodes_by_zone[zone].append(node_id)
    return frozenset(_iter_neighbours(own_id, zones[own_id], nodes_by_zone))


def _iter_neighbours(
    own_id: str, own_zone: str, nodes_by_zone: Mapping[str, list[str]]
) -> Iterator[str]:
    zone_nodes = set(nodes_by_zone[own_zone]) - {own_id}
    if zone_nodes:
        for ring in _ZONE_RINGS:
            yield _get_successor(ring, own_id, zone_nodes)
    bridge_count = _count_bridges(len(nodes_by_zone))
    own_bridges = _choose_bridges(nodes_by_zone[own_zone], bridge_count)
    if own_id not in own_bridges:
        inner_nodes = zone_nodes - own_bridges
        if inner_nodes:
            yield _get_successor(_INNER_RING, own_id, inner_nodes)
        return
    for zone, node_ids in nodes_by_zone.items():
        # The zone with the higher name accepts the links of two zones. A node
        # without others in its zone has no links but these.
        if zone > own_zone or (zone != own_zone and not zone_nodes):
            bridges = _choose_bridges(node_ids, bridge_count)
            yield _get_successor(_BRIDGE_RING, own_id, bridges)


def _count_bridges(zone_count: int) -> int:
    """Returns the number of bridges in each zone; 0 if there is one zone."""
    if zone_count == 1:
        return 0
    links_per_zone = math.ceil(_MIN_LINKS_BETWEEN_ZONES / (zone_count - 1))
    return max(_MIN_BRIDGES, links_per_zone)


def _choose_bridges(node_ids: Iterable[str], count: int) -> frozenset[str]:
    """Returns the nodes of a zone that have links to other zones."""
    return frozenset(
        nsmallest(
            count,
            node_ids,
            key=lambda node_id: _get_position(_BRIDGE_RING, node_id),
        )
    )


def choose_missing_neighbours(
    own_id: str, alive_zones: Mapping[str, str], dead_zones: Mapping[str, str]
) -> frozenset[str]:
    """Returns the dead nodes that a node tries to reach.

    They lie between it and the next alive node on a ring, so that each dead
    node is looked for by at least one alive node on each ring that has some.

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


def _list_others(ring: int, own_id: str, zones: Mapping[str, str]) -> list[str]:
    """Returns the other nodes on a ring of possible missing neighbours.

    The only node of a zone uses the ring of the zone as one of all nodes.
    """
    others = [node_id for node_id in zones if node_id != own_id]
    if ring != _MISSING_ZONE_RING:
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
