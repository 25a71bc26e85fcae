"""The table of all nodes that this node knows."""

from collections.abc import Callable, Iterator

from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.member_status import MemberStatus

Listener = Callable[[Member], None]


class MemberTable:
    """The newest entry of each node, this one included."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members = {own.node_id: own}
        self._listeners: list[Listener] = []

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def get(self, node_id: str) -> Member | None:
        """Returns the entry of a node."""
        return self._members.get(node_id)

    def add_listener(self, listener: Listener) -> None:
        """Calls the listener with each entry that changes."""
        self._listeners.append(listener)

    def merge(self, member: Member) -> bool:
        """Takes an entry if it is newer than the one held.

        Args:
            member: An entry received from a peer or read from the log.

        Returns:
            Whether the table changed.
        """
        if member.node_id == self.own.node_id:
            return self._refute(member)
        held = self._members.get(member.node_id)
        if held is not None and not member.supersedes(held):
            return False
        self._store(member)
        return True

    def update_own(self, **changes: object) -> Member:
        """Changes this node's entry and raises its version."""
        changed = self.own._replace(**changes)  # type: ignore[arg-type]
        self.own = changed._replace(version=self.own.version + 1)
        self._store(self.own)
        return self.own

    def _refute(self, claim: Member) -> bool:
        if not claim.supersedes(self.own):
            return False
        if claim.incarnation > self.own.incarnation:
            return False
        if claim.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            self.own = self.own._replace(version=claim.version)
            self.update_own()
            return True
        return False

    def _store(self, member: Member) -> None:
        self._members[member.node_id] = member
        for listener in self._listeners:
            listener(member)
