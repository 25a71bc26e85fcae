"""Assigns the partitions of the claims to nodes."""

import hashlib
from collections.abc import Iterable
from heapq import nlargest

from rhubarbpaddle.membership import Member, MemberStatus, MemberTable

PARTITIONS = 16
# The owner and the nodes that replace it when it does not respond.
OWNER_CANDIDATES = 3


class ClaimPartitions:
    """Assigns each partition to alive members by rendezvous hashing."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._alive: dict[str, bool] = {}
        self._ranked: list[tuple[str, ...]] = []
        table.add_listener(self._handle_change)

    def get_owners(self, partition: int) -> tuple[Member, ...]:
        """Returns the partition's owner and successors, 3 members at most."""
        if not self._ranked:
            alive = [m.node_id for m in self._table if _is_alive(m)]
            self._ranked = [rank_nodes(p, alive) for p in range(PARTITIONS)]
        members = [
            self._table.get(node_id) for node_id in self._ranked[partition]
        ]
        return tuple(member for member in members if member is not None)

    def _handle_change(self, member: Member, source: str | None) -> None:
        # Ranking all members for all partitions takes 10 ms with 800 members,
        # and most changes affect only the state of an upstream.
        alive = _is_alive(member)
        if self._alive.get(member.node_id) != alive:
            self._alive[member.node_id] = alive
            self._ranked = []


def get_partition(key: bytes) -> int:
    """Returns the partition that a scoped key belongs to."""
    return int.from_bytes(key[:4], "big") % PARTITIONS


def rank_nodes(partition: int, node_ids: Iterable[str]) -> tuple[str, ...]:
    """Returns the highest-ranked nodes of a partition, the owner first."""

    def compute_weight(node_id: str) -> bytes:
        pair = f"{partition}\0{node_id}".encode()
        return hashlib.blake2b(pair, digest_size=8).digest()

    return tuple(nlargest(OWNER_CANDIDATES, node_ids, key=compute_weight))


def _is_alive(member: Member) -> bool:
    return member.status is MemberStatus.ALIVE
