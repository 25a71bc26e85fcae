"""The members of one service, by distance."""

from collections.abc import Collection, Iterable
from typing import NamedTuple, Self

from rhubarbpaddle.membership import Member


class MemberGroups(NamedTuple):
    """The members whose instance of a service takes requests.

    Attributes:
        local: Those in the availability zone of this node.
        others: Those in other zones.
        zones: The zones of all of them.
    """

    local: tuple[Member, ...] = ()
    others: tuple[Member, ...] = ()
    zones: frozenset[str] = frozenset()

    @classmethod
    def from_members(cls, members: Iterable[Member], own_zone: str) -> Self:
        """Divides members into those of a zone and the others."""
        members = tuple(members)
        return cls(
            tuple(m for m in members if m.availability_zone == own_zone),
            tuple(m for m in members if m.availability_zone != own_zone),
            frozenset(m.availability_zone for m in members),
        )

    def without_nodes(self, node_ids: Collection[str]) -> "MemberGroups":
        """Returns the members except for some."""
        return MemberGroups(
            tuple(m for m in self.local if m.node_id not in node_ids),
            tuple(m for m in self.others if m.node_id not in node_ids),
            self.zones,
        )

    def without_zones(self, zones: Collection[str]) -> "MemberGroups":
        """Returns the members that are in none of the zones."""
        return MemberGroups(
            tuple(m for m in self.local if m.availability_zone not in zones),
            tuple(m for m in self.others if m.availability_zone not in zones),
            self.zones.difference(zones),
        )
