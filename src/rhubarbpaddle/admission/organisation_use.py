"""The usage ratio of one organisation as an instance has last seen it."""

import math
from typing import NamedTuple


class OrganisationUse(NamedTuple):
    """The latest usage ratio of an organisation and its position.

    Attributes:
        ratio: Its recent requests at all nodes relative to its usage cap.
        seen_at: Monotonic seconds at which a request carried the ratio.
        high_since: Monotonic seconds since which all its ratios have been high,
            or infinity if the latest is not.
        is_above_share: Whether it uses more of its cap than the others.
        credit: The part of a request within its share that it has earned while
            it is above its share; less than 1.
    """

    ratio: float
    seen_at: float
    high_since: float = math.inf
    is_above_share: bool = False
    credit: float = 0.0
