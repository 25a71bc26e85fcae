"""The election of the nodes that read the platform's store."""

import hashlib
from collections.abc import Callable
from functools import lru_cache

from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.member_status import MemberStatus
from rhubarbpaddle.membership.member_table import MemberTable

# Calls to the store are limited, so few nodes make them. The only reader of a
# fleet could fail, or be refused by the store, and a zone may be cut off from
# the others. With four zones or more, one reader in each is enough.
_READERS = 6
_MAX_READERS_PER_ZONE = 2


class StoreReaderElection:
    """Elects readers among the alive nodes of the local availability zone.

    The nodes with the lowest hashes of their ids are the readers. The other
    nodes receive the readers' results over control links.
    """

    def __init__(
        self, table: MemberTable, get_link_count: Callable[[], int]
    ) -> None:
        """Creates the election as computed by one node.

        Args:
            table: The members.
            get_link_count: Returns the number of open control links.
        """
        self._table = table
        self._get_link_count = get_link_count

    def is_reader(self) -> bool:
        """Returns whether this node has to read the store itself.

        A node without a control link always reads, because it receives nothing
        from others.
        """
        if self._get_link_count() == 0:
            return True
        own = self._table.own
        own_rank = _get_rank(own.node_id)
        zones = {own.availability_zone}
        lower_rank_count = 0
        for member in self._table:
            if not _is_eligible(member):
                continue
            zones.add(member.availability_zone)
            lower_rank_count += (
                member.availability_zone == own.availability_zone
                and _get_rank(member.node_id) < own_rank
            )
        readers_per_zone = min(
            _MAX_READERS_PER_ZONE, max(1, _READERS // len(zones))
        )
        return lower_rank_count < readers_per_zone


def _is_eligible(member: Member) -> bool:
    return member.status is MemberStatus.ALIVE


@lru_cache(maxsize=8192)
def _get_rank(node_id: str) -> bytes:
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()
