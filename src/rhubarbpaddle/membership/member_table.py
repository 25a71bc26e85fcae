"""The table of all nodes that this node knows."""

import hashlib
from collections.abc import Callable, Iterator

from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.member_status import MemberStatus

Listener = Callable[[Member, str | None], None]

_DIGEST_BYTES = 8


class MemberTable:
    """The newest entry of each node, this one included.

    Attributes:
        own: This node's entry.
        digest: Equal for tables with equal entries; changes with each entry.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.digest = 0
        self._members: dict[str, Member] = {}
        self._listeners: list[Listener] = []
        self._store(own, None)

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def __len__(self) -> int:
        return len(self._members)

    def get(self, node_id: str) -> Member | None:
        """Returns the entry of a node."""
        return self._members.get(node_id)

    def add_listener(self, listener: Listener) -> None:
        """Calls the listener with each entry that changes and its source."""
        self._listeners.append(listener)

    def merge(self, member: Member, source: str | None = None) -> bool:
        """Takes an entry if it is newer than the one held.

        Args:
            member: An entry received from a peer or read from the log.
            source: The peer that sent it, if a peer did.

        Returns:
            Whether the table changed.
        """
        if member.node_id == self.own.node_id:
            return self._refute(member)
        held = self._members.get(member.node_id)
        if held is not None and not member.supersedes(held):
            return False
        self._store(member, source)
        return True

    def remove(self, node_id: str) -> None:
        """Forgets a node that has been dead for long."""
        member = self._members.pop(node_id, None)
        if member is not None:
            self.digest ^= _get_digest(member)

    def update_own(self, **changes: object) -> Member:
        """Changes this node's entry and raises its version."""
        changed = self.own._replace(**changes)  # type: ignore[arg-type]
        self.own = changed._replace(version=self.own.version + 1)
        self._store(self.own, None)
        return self.own

    def _refute(self, claim: Member) -> bool:
        """Answers a suspicion against this node with a higher version."""
        if (
            claim.incarnation != self.own.incarnation
            or claim.version < self.own.version
            or claim.status not in (MemberStatus.SUSPECT, MemberStatus.DEAD)
        ):
            return False
        self.own = self.own._replace(version=claim.version)
        self.update_own()
        return True

    def _store(self, member: Member, source: str | None) -> None:
        held = self._members.get(member.node_id)
        if held is not None:
            self.digest ^= _get_digest(held)
        self._members[member.node_id] = member
        self.digest ^= _get_digest(member)
        for listener in self._listeners:
            listener(member, source)


def _get_digest(member: Member) -> int:
    fields = (
        member.node_id,
        str(member.incarnation),
        str(member.version),
        member.status.value,
    )
    key = "\0".join(fields).encode()
    digest = hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
