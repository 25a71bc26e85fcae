"""The limits that operators set for roll-outs."""

from datetime import timedelta
from typing import NamedTuple


class RolloutTerms(NamedTuple):
    """Bounds on what a new version may receive before it is proven.

    Attributes:
        exposure_share: The largest fraction of a service's requests that a bad
            version may receive, over all nodes.
        exposure_slack: How many requests it may receive in addition.
        rollback_time: The time from the 50th bad response, counted over all
            nodes, until no request is sent to the version.
    """

    exposure_share: float
    exposure_slack: float
    rollback_time: timedelta
