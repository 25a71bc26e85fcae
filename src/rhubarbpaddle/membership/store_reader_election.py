"""The election of the nodes that read the platform's store."""

import hashlib
from collections import defaultdict
from collections.abc import Callable
from functools import lru_cache
from heapq import nsmallest
from itertools import chain

from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.member_status import MemberStatus
from rhubarbpaddle.membership.member_table import MemberTable
from rhubarbpaddle.membership.reader_position import ReaderPosition
from rhubarbpaddle.membership.store_access_table import StoreAccessTable

# Calls to the store are limited, so few nodes make them. The only reader of a
# fleet could fail, or be refused by the store, and a zone may be cut off from
# the others. With four zones or more, one reader in each is enough.
_READERS = 6
_MAX_READERS_PER_ZONE = 2
# How many nodes of a zone are passed over because their reads fail. No others
# call a store that fails altogether.
_MAX_PASSED_OVER = 4


class StoreReaderElection:
    """Elects readers among the alive nodes of each availability zone.

    The nodes with the lowest hashes of their ids are the readers, except for
    some whose reads fail. The other nodes receive the readers' results over
    control links.
    """

    def __init__(
        self,
        table: MemberTable,
        access: StoreAccessTable,
        has_active_link: Callable[[], bool],
    ) -> None:
        """Creates the election as computed by one node.

        Args:
            table: The members.
            access: Which of them can read the store.
            has_active_link: Returns whether a neighbour has sent anything very
                recently.
        """
        self._table = table
        self._access = access
        self._has_active_link = has_active_link

    def get_position(self) -> ReaderPosition | None:
        """Returns this node's place among the readers, or None if it is none.

        A node without an active control link always reads, because it receives
        nothing from others.
        """
        if not self._has_active_link():
            return ReaderPosition(0, 1)
        readers = self._elect()
        own_id = self._table.own.node_id
        if own_id not in readers:
            return None
        return ReaderPosition(readers.index(own_id), len(readers))

    def _elect(self) -> list[str]:
        """Returns the readers of all zones."""
        eligible_ids: defaultdict[str, list[str]] = defaultdict(list)
        for member in self._table:
            if _is_eligible(member):
                eligible_ids[member.availability_zone].append(member.node_id)
        readers_per_zone = min(
            _MAX_READERS_PER_ZONE, max(1, _READERS // max(1, len(eligible_ids)))
        )
        return list(
            chain.from_iterable(
                self._elect_in_zone(node_ids, readers_per_zone)
                for _, node_ids in sorted(eligible_ids.items())
            )
        )

    def _elect_in_zone(self, node_ids: list[str], count: int) -> list[str]:
        """Returns the readers of one zone.

        There is one more for each node that is passed over: what keeps that one
        from the store may affect its replacement too, and another second would
        pass until this shows.
        """
        candidates = nsmallest(
            count + _MAX_PASSED_OVER, node_ids, key=_get_rank
        )
        failing = [
            node_id
            for node_id in candidates
            if self._access.is_failing(node_id)
        ]
        able = [node_id for node_id in candidates if node_id not in failing]
        readers = able[: count + len(failing)]
        return readers + failing[: max(0, count - len(readers))]


def _is_eligible(member: Member) -> bool:
    return member.status is MemberStatus.ALIVE


@lru_cache(maxsize=8192)
def _get_rank(node_id: str) -> bytes:
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()
