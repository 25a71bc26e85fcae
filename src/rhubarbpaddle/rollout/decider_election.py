"""The election of the node that decides about a service's roll-out."""

from collections.abc import Callable
from functools import lru_cache

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.membership import Member, MemberStatus, MemberTable
from rhubarbpaddle.routing.rendezvous import get_weight

# Nodes that have been dead for longer than a partition lasts (8 s) count as
# removed.
_PARTITION_SECONDS = 15.0


class DeciderElection:
    """Elects the first reachable member by the rendezvous hash of a service.

    The others follow in the order of their hashes. Several nodes may consider
    themselves elected; conditional writes to the store resolve this.
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        has_active_link: Callable[[], bool],
    ) -> None:
        """Creates the election as computed by one node.

        Args:
            table: The members.
            clock: The source of time.
            has_active_link: Returns whether a neighbour has sent anything very
                recently.
        """
        self._table = table
        self._clock = clock
        self._has_active_link = has_active_link
        self._dead_since: dict[str, float] = {}
        self._left: set[str] = set()
        table.add_listener(self._on_member_change)

    def get_rank(self, service: str) -> int | None:
        """Returns how many reachable nodes precede this one.

        None if this node is leaving.
        """
        own = self._table.own
        if own.status is not MemberStatus.ALIVE:
            return None
        own_weight = _get_weight(service, own.node_id)
        return sum(
            member.status is MemberStatus.ALIVE
            and _get_weight(service, member.node_id) > own_weight
            for member in self._table
        )

    def sees_majority(self) -> bool:
        """Returns whether most of the nodes that have not left are reachable.

        A smaller part of a partitioned fleet knows too few responses to
        complete a roll-out, or to end one because there are too few.
        """
        oldest = self._clock.monotonic() - _PARTITION_SECONDS
        known = reachable = 0
        for member in self._table:
            if member.status is MemberStatus.ALIVE:
                reachable += 1
                known += 1
            elif (
                member.status is MemberStatus.SUSPECT
                or self._dead_since.get(member.node_id, oldest) > oldest
            ):
                known += 1
        return 2 * reachable > known and (
            len(self._table) == 1 or self._has_active_link()
        )

    def _on_member_change(self, member: Member, source: str | None) -> None:
        node_id = member.node_id
        if member.status is MemberStatus.LEAVING:
            self._left.add(node_id)
        elif member.status is MemberStatus.DEAD:
            if node_id not in self._left:
                self._dead_since.setdefault(node_id, self._clock.monotonic())
        else:
            self._left.discard(node_id)
            self._dead_since.pop(node_id, None)


@lru_cache(maxsize=8192)
def _get_weight(service: str, node_id: str) -> int:
    return get_weight(service, node_id)
