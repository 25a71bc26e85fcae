"""The table of all known nodes."""

import hashlib
from collections.abc import Callable, Iterator

from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.member_status import MemberStatus

Listener = Callable[[Member, str | None], None]

_DIGEST_BYTES = 8


class MemberTable:
    """Holds the newest entry of each node, including this one.

    Attributes:
        own: This node's entry.
        digest: A hash of all entries; equal for tables with equal entries.
        previous_own: The newest entry of an earlier process of this node that
            a peer has sent, or None.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.digest = 0
        self.previous_own: Member | None = None
        self._members: dict[str, Member] = {}
        self._listeners: list[Listener] = []
        self._store(own, None)

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def __len__(self) -> int:
        return len(self._members)

    def get(self, node_id: str) -> Member | None:
        """Returns the entry of a node, or None if it is unknown."""
        return self._members.get(node_id)

    def add_listener(self, listener: Listener) -> None:
        """Adds a function that is called with each changed entry.

        Its second argument is the peer that sent the entry, or None.
        """
        self._listeners.append(listener)

    def is_news(self, member: Member) -> bool:
        """Returns whether `merge` may change the table."""
        current = self._members.get(member.node_id)
        return (
            current is None
            or member.node_id == self.own.node_id
            or member.supersedes(current)
        )

    def merge(self, member: Member, source: str | None = None) -> bool:
        """Stores an entry if it is newer than the current one.

        Args:
            member: An entry received from a peer or read from the log.
            source: The peer that sent it, or None.

        Returns:
            Whether the table changed.
        """
        if member.node_id == self.own.node_id:
            return self._refute(member)
        if not self.is_news(member):
            return False
        self._store(member, source)
        return True

    def remove(self, node_id: str) -> None:
        """Removes the entry of a node that has been dead for a long time."""
        member = self._members.pop(node_id, None)
        if member is not None:
            self.digest ^= _get_digest(member)

    def update_own(self, **changes: object) -> Member:
        """Changes this node's entry, increments its version and returns it."""
        changed = self.own._replace(**changes)  # type: ignore[arg-type]
        self.own = changed._replace(version=self.own.version + 1)
        self._store(self.own, None)
        return self.own

    def _refute(self, entry: Member) -> bool:
        """Refutes a suspicion of this node by a higher version."""
        if entry.incarnation < self.own.incarnation:
            previous = self.previous_own
            if previous is None or entry.supersedes(previous):
                self.previous_own = entry
            return False
        if (
            entry.incarnation != self.own.incarnation
            or entry.version < self.own.version
            or entry.status not in (MemberStatus.SUSPECT, MemberStatus.DEAD)
        ):
            return False
        self.own = self.own._replace(version=entry.version)
        self.update_own()
        return True

    def _store(self, member: Member, source: str | None) -> None:
        current = self._members.get(member.node_id)
        if current is not None:
            self.digest ^= _get_digest(current)
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
