"""What this node knows about the fleet that shares the usage caps."""

import math
from collections.abc import Callable, Iterator

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
)
from rhubarbpaddle.usage.owner_ranking import OwnerRanking
from rhubarbpaddle.usage.owner_role import OwnerRole
from rhubarbpaddle.usage.owner_standing import OwnerStanding

# A process that has not run for this long may have been frozen while another
# node became the owner.
_PAUSE_SECONDS = 0.75
# For this time after the first contact, the node directory is a lower bound of
# the fleet's size: a node that starts in a part of the fleet that is cut off
# learns only of that part. Later it is none: entries of removed nodes remain.
_SETTLE_SECONDS = 60.0
# A node that runs refutes a suspicion within a few tenths of a second. A node
# that has been suspected for this time is treated as gone. The other side of a
# partition suspects this side's nodes at about the same time, and reduces its
# part at once.
_REFUTATION_SECONDS = 1.0


class FleetView:
    """Decides which node owns a usage cap and which part of it.

    It addresses nodes that are cut off, frozen or restarted: several nodes may
    then take themselves for the owner. The parts that they grant add up to the
    cap, since each grants the part of the fleet that it reaches.
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        has_active_link: Callable[[], bool],
        count_listed_nodes: Callable[[], int | None],
    ) -> None:
        """Creates a view without contact to the fleet.

        Args:
            table: The members of the fleet.
            clock: The source of time.
            has_active_link: Returns whether another node has sent anything very
                recently.
            count_listed_nodes: Returns a lower bound of the number of other
                nodes that does not need their contact; None if not known yet.
        """
        self._table = table
        self._clock = clock
        self._has_active_link = has_active_link
        self._count_listed_nodes = count_listed_nodes
        self._ranking = OwnerRanking(member.node_id for member in table)
        self._table_size = len(table)
        self._alive: set[str] = set()
        self._left: set[str] = set()
        self._absent_since: dict[str, float] = {}
        self._suspected_since: dict[str, float] = {}
        # The node is created before its event loop runs, which has the time.
        self._observed_at = -math.inf
        self._first_contact_at: float | None = None
        self._contact_since: float | None = None
        for member in table:
            self._record_status(member)
        table.add_listener(self._handle_member_change)

    @property
    def size(self) -> int:
        """The number of nodes that have not left, or a lower bound of it."""
        return max(
            len(self._table) - len(self._left),
            1 + (self._count_listed_nodes() or 0),
        )

    @property
    def is_size_known(self) -> bool:
        """Whether this node knows other nodes or has read the directory."""
        return len(self._table) > 1 or self._count_listed_nodes() is not None

    @property
    def has_contact(self) -> bool:
        """Whether another node has sent anything recently, or none exists."""
        return self._contact_since is not None

    def observe(self) -> None:
        """Detects lost contact and pauses, if called several times a second."""
        now = self._clock.monotonic()
        was_paused = now - self._observed_at > _PAUSE_SECONDS
        self._observed_at = now
        if len(self._table) < self._table_size:
            self._forget_removed()
        self._table_size = len(self._table)
        if not self._is_in_contact():
            self._contact_since = None
        elif was_paused or self._contact_since is None:
            self._contact_since = now
            if self._first_contact_at is None:
                self._first_contact_at = now

    def get_standing(self, organisation: str) -> OwnerStanding:
        """Returns this node's standing for an organisation."""
        self.observe()
        own = self._table.own
        if self._contact_since is None or own.status is MemberStatus.LEAVING:
            return OwnerStanding(OwnerRole.NONE)
        since = self._contact_since
        ranking = self._ranking.get(organisation)
        if own.node_id not in ranking:
            return OwnerStanding(OwnerRole.SUBSTITUTE)
        for node_id in ranking[: ranking.index(own.node_id)]:
            absent_since = self._get_absent_since(node_id)
            if absent_since is None:
                return OwnerStanding(OwnerRole.SUBSTITUTE)
            since = max(since, absent_since)
        return OwnerStanding(OwnerRole.OWNER, self._get_share(), since)

    def iter_candidates(self, organisation: str) -> Iterator[Member]:
        """Yields the nodes to ask about an organisation, the owner first."""
        for node_id in self._ranking.get(organisation):
            member = self._table.get(node_id)
            if member is not None and self._get_absent_since(node_id) is None:
                yield member

    def _get_absent_since(self, node_id: str) -> float | None:
        """Returns since when a node can't be an owner; None if it can."""
        suspected_since = self._suspected_since.get(node_id)
        if suspected_since is None:
            return self._absent_since.get(node_id)
        since = suspected_since + _REFUTATION_SECONDS
        return since if since <= self._clock.monotonic() else None

    def _get_share(self) -> float:
        size = len(self._table) - len(self._left)
        if (
            self._first_contact_at is not None
            and self._observed_at - self._first_contact_at < _SETTLE_SECONDS
        ):
            size = max(size, self.size)
        return min(1.0, len(self._alive) / size)

    def _is_in_contact(self) -> bool:
        if self._has_active_link():
            return True
        # A fleet of one node has no links.
        return self._count_listed_nodes() is not None and self.size == 1

    def _forget_removed(self) -> None:
        """Forgets the nodes whose entries were removed long after they died."""
        removed = {
            node_id
            for node_id in self._absent_since
            if self._table.get(node_id) is None
        }
        self._left -= removed
        for node_id in removed:
            del self._absent_since[node_id]
        self._ranking.remove_nodes(removed)

    def _handle_member_change(self, member: Member, source: str | None) -> None:
        self._ranking.add_node(member.node_id)
        self._record_status(member)

    def _record_status(self, member: Member) -> None:
        node_id = member.node_id
        absent_since = self._get_absent_since(node_id)
        self._suspected_since.pop(node_id, None)
        # A suspected node does not count, so that a partition reduces the part
        # of one side before the other side has an owner.
        self._alive.discard(node_id)
        match member.status:
            case MemberStatus.ALIVE:
                self._alive.add(node_id)
                self._absent_since.pop(node_id, None)
                self._left.discard(node_id)
            case MemberStatus.SUSPECT:
                self._absent_since.pop(node_id, None)
                self._suspected_since[node_id] = self._clock.monotonic()
            case _:
                self._absent_since[node_id] = (
                    self._clock.monotonic()
                    if absent_since is None
                    else absent_since
                )
        if member.status is MemberStatus.LEAVING or _has_departed(member):
            self._left.add(node_id)


def _has_departed(member: Member) -> bool:
    """Returns whether a dead node's instance had departed before.

    A node that joins later does not know that the node was leaving.
    """
    return (
        member.status is MemberStatus.DEAD
        and member.upstream is not None
        and member.upstream.state is UpstreamState.LEAVING
    )
