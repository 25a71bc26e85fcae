"""Message with entries of the member table."""

import msgspec

from rhubarbpaddle.membership import Member, StoreAccess


class MemberUpdate(msgspec.Struct, array_like=True, tag="member", frozen=True):
    """Carries changed entries, or a part of the whole member table.

    Attributes:
        members: The entries, at most `MEMBERS_PER_MESSAGE`.
        store_access: Changed entries of the nodes' access to the store. Nodes
            of versions without this field ignore it.
    """

    members: tuple[Member, ...]
    store_access: tuple[StoreAccess, ...] = ()


# With entries of typical length this stays far below the frame limit.
MEMBERS_PER_MESSAGE = 500
