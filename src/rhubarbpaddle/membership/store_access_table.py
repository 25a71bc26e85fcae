"""The table of nodes whose reads of the platform's store fail."""

from collections.abc import Callable

from rhubarbpaddle.membership.member_table import MemberTable
from rhubarbpaddle.membership.store_access import StoreAccess

Listener = Callable[[StoreAccess, str | None], None]


class StoreAccessTable:
    """Holds what each node last said about its access to the store.

    A node about which nothing is known counts as able to read.
    """

    def __init__(self, members: MemberTable) -> None:
        """Creates a table in which this node is able to read.

        Args:
            members: The members; entries of other nodes are ignored.
        """
        self._members = members
        own = members.own
        self._own = StoreAccess(own.node_id, own.incarnation, 0, False)
        self._entries = {own.node_id: self._own}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Adds a function that is called with each changed entry.

        Its second argument is the peer that sent the entry, or None.
        """
        self._listeners.append(listener)

    def is_failing(self, node_id: str) -> bool:
        """Returns whether the reads of a node fail."""
        entry = self._entries.get(node_id)
        return entry is not None and entry.is_failing

    def is_own_failing(self) -> bool:
        """Returns whether the reads of this node fail."""
        return self._own.is_failing

    def list_changed(self) -> list[StoreAccess]:
        """Returns the entries of all members that have ever changed theirs."""
        self._entries = {
            node_id: entry
            for node_id, entry in self._entries.items()
            if self._members.get(node_id) is not None
        }
        return [entry for entry in self._entries.values() if entry.number]

    def update_own(self, is_failing: bool) -> None:
        """Changes this node's entry if its access has changed."""
        if is_failing != self._own.is_failing:
            self._replace_own(is_failing)

    def merge(self, entry: StoreAccess, source: str) -> None:
        """Stores an entry that a peer has sent, if it is newer.

        Args:
            entry: The entry.
            source: The peer that sent it.
        """
        node_id = entry.node_id
        if node_id == self._own.node_id:
            if entry.is_failing and not self._own.is_failing:
                # An entry of an earlier process of this node.
                self._replace_own(False)
            return
        current = self._entries.get(node_id)
        if self._members.get(node_id) is not None and (
            current is None or entry.supersedes(current)
        ):
            self._store(entry, source)

    def _replace_own(self, is_failing: bool) -> None:
        self._own = self._own._replace(
            number=self._own.number + 1, is_failing=is_failing
        )
        self._store(self._own, None)

    def _store(self, entry: StoreAccess, source: str | None) -> None:
        self._entries[entry.node_id] = entry
        for listener in self._listeners:
            listener(entry, source)
