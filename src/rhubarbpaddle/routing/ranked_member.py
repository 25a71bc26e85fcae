"""A member with the values that decide its rank."""

from typing import NamedTuple

from rhubarbpaddle.membership import Member
from rhubarbpaddle.routing.instance_condition import InstanceCondition


class RankedMember(NamedTuple):
    """A member that may be chosen for a request.

    Members compare in the order in which they are chosen.

    Attributes:
        condition: What stands against its instance.
        load: Its known requests as a fraction of its slots.
        tie_breaker: A random number, so that nodes choose differently.
        member: The member.
    """

    condition: InstanceCondition
    load: float
    tie_breaker: float
    member: Member
