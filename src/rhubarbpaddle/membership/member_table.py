"""The table of all known nodes."""

import hashlib
from collections.abc import Callable, Iterator

from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.member_status import MemberStatus
from rhubarbpaddle.membership.upstream_state import UpstreamState
from rhubarbpaddle.membership.upstream_summary import UpstreamSummary

Listener = Callable[[Member, str | None], None]
PreviousOwnListener = Callable[[Member], None]

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
        self._previous_own_listeners: list[PreviousOwnListener] = []
        self._replaced_departures: dict[str, Member] = {}
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

    def add_previous_own_listener(self, listener: PreviousOwnListener) -> None:
        """Adds a function that is called when `previous_own` changes."""
        self._previous_own_listeners.append(listener)

    def get_replaced_departure(self, node_id: str) -> Member | None:
        """Returns the entry in which an earlier process reported a departure.

        The new process of the node may not know of it yet, and can't see it on
        the instance, which may serve until it exits. None if there is no such
        entry, or the new process knows of the departure or of a later boot.
        """
        return self._replaced_departures.get(node_id)

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
        self._keep_departure(member)
        self._store(member, source)
        return True

    def remove(self, node_id: str) -> None:
        """Removes the entry of a node that has been dead for a long time."""
        self._replaced_departures.pop(node_id, None)
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
                for listener in self._previous_own_listeners:
                    listener(entry)
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

    def _keep_departure(self, member: Member) -> None:
        """Keeps the current entry of a node if its instance has departed."""
        current = self._members.get(member.node_id)
        if (
            current is not None
            and current.incarnation < member.incarnation
            and current.upstream is not None
            and current.upstream.state is UpstreamState.LEAVING
        ):
            self._replaced_departures[member.node_id] = current
        replaced = self._replaced_departures.get(member.node_id)
        if replaced is not None and _is_as_recent(
            member.upstream, replaced.upstream
        ):
            del self._replaced_departures[member.node_id]

    def _store(self, member: Member, source: str | None) -> None:
        current = self._members.get(member.node_id)
        if current is not None:
            self.digest ^= _get_digest(current)
        self._members[member.node_id] = member
        self.digest ^= _get_digest(member)
        for listener in self._listeners:
            listener(member, source)


def _is_as_recent(
    upstream: UpstreamSummary | None, departed: UpstreamSummary | None
) -> bool:
    """Returns whether an entry covers a departure or a later boot."""
    return (
        upstream is not None
        and departed is not None
        and (
            upstream.incarnation > departed.incarnation or upstream == departed
        )
    )


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
