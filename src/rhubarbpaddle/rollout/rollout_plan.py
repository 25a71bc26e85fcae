"""The times at which a roll-out changes its phase."""

from datetime import timedelta
from typing import NamedTuple, Self

# Until all nodes know of the promotion. Changes reach all nodes within 0.3 s.
_SPREAD_SECONDS = 0.5
_MAX_PROMOTION_PART = 0.25
# The state takes a read and a write, for each of which a slow store needs
# 0.25 s. A missed deadline makes a roll-out late, whereas a version that turns
# bad after an early end of the trial would get more than its share.
_STORE_SECONDS = 1.5
_MAX_STORE_PART = 0.15
# In this time a slow store can still be read and written once.
_MIN_STORE_SECONDS = 0.75
_MIN_STORE_PART = 0.075


class RolloutPlan(NamedTuple):
    """Monotonic times of a roll-out.

    Attributes:
        trial_end: When a proven version is promoted.
        last_decision: When the trial ends with the evidence so far.
        promotion_seconds: How long all new requests go to the target version
            before the old instances may stop.
    """

    trial_end: float
    last_decision: float
    promotion_seconds: float

    @classmethod
    def from_order(
        cls, started_at: float, duration: timedelta, request_time: timedelta
    ) -> Self:
        """Creates the plan of a roll-out.

        The trial lasts as long as possible, because a version may turn bad
        late.

        Args:
            started_at: When the order was written.
            duration: The time until its deadline.
            request_time: How long requests take at most.
        """
        seconds = duration.total_seconds()
        deadline = started_at + seconds
        promotion_seconds = _SPREAD_SECONDS + min(
            request_time.total_seconds(), seconds * _MAX_PROMOTION_PART
        )
        reserve = min(_STORE_SECONDS, seconds * _MAX_STORE_PART)
        min_reserve = min(_MIN_STORE_SECONDS, seconds * _MIN_STORE_PART)
        return cls(
            deadline - promotion_seconds - reserve,
            deadline - promotion_seconds - min_reserve,
            promotion_seconds,
        )
