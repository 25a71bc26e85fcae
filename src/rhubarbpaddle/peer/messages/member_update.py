"""Message with entries of the member table."""

from collections.abc import Iterable
from itertools import chain, repeat
from typing import Any, Self

import msgspec

from rhubarbpaddle.membership import Member, StoreAccess
from rhubarbpaddle.rollout.count_report import CountReport
from rhubarbpaddle.rollout.phase_notice import PhaseNotice


class MemberUpdate(msgspec.Struct, array_like=True, tag="member", frozen=True):
    """Carries changed entries, or a part of the whole member table.

    Attributes:
        members: The entries, at most `MEMBERS_PER_MESSAGE`.
        store_access: Changed entries of the nodes' access to the store. Nodes
            of versions without this field ignore it.
        rollout_phases: New phases of roll-outs; ignored in the same way.
        rollout_counts: New counts of responses during roll-outs.
        versions: The versions of the members' instances, in the same order. The
            entries do not include them, because nodes of earlier releases
            reject an entry with a field that they don't know.
    """

    members: tuple[Member, ...]
    store_access: tuple[StoreAccess, ...] = ()
    rollout_phases: tuple[PhaseNotice, ...] = ()
    rollout_counts: tuple[CountReport, ...] = ()
    versions: tuple[str, ...] = ()

    @classmethod
    def from_members(cls, members: Iterable[Member]) -> Self:
        """Creates the message for some entries."""
        entries = tuple(members)
        versions = tuple(
            member.upstream.version if member.upstream else ""
            for member in entries
        )
        return cls(
            tuple(map(_remove_version, entries)),
            versions=versions if any(versions) else (),
        )

    def get_members(self) -> tuple[Member, ...]:
        """Returns the entries with the versions of their instances."""
        versions = chain(self.versions, repeat(""))
        return tuple(map(_add_version, self.members, versions))


# With entries of typical length this stays far below the frame limit.
MEMBERS_PER_MESSAGE = 500


def _remove_version(member: Member) -> Member:
    if member.upstream is None:
        return member
    # The version is the last field, so that a plain tuple without it has the
    # encoding of earlier releases.
    upstream: Any = tuple(member.upstream[:-1])
    return member._replace(upstream=upstream)


def _add_version(member: Member, version: str) -> Member:
    if member.upstream is None or not version:
        return member
    return member._replace(upstream=member.upstream._replace(version=version))
