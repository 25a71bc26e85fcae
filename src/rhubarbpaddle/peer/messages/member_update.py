"""Message with entries of the member table."""

import msgspec

from rhubarbpaddle.membership import Member


class MemberUpdate(msgspec.Struct, array_like=True, tag="member", frozen=True):
    """Carries changed entries, or a part of the whole member table.

    Attributes:
        members: The entries, at most `MEMBERS_PER_MESSAGE`.
    """

    members: tuple[Member, ...]


# With entries of typical length this stays far below the frame limit.
MEMBERS_PER_MESSAGE = 500
