"""Entries of the member table."""

import msgspec

from rhubarbpaddle.membership import Member


class MemberUpdate(msgspec.Struct, array_like=True, tag="member", frozen=True):
    """Entries that have changed, or a part of the whole table.

    Attributes:
        members: The entries, at most `MEMBERS_PER_MESSAGE`.
    """

    members: tuple[Member, ...]


# Keeps a message with entries of ordinary length far below the frame limit.
MEMBERS_PER_MESSAGE = 500
