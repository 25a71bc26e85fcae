"""A request in the queue of an instance."""

import math
from typing import NamedTuple

import trio

# The value of a late response relative to one within the latency target: a
# compromise between callers of routes, for whom it is worth a tenth to a fifth,
# and running requests that wait for a lookup, for which it has its full value.
_LATE_VALUE = 0.25
# Time constant with which the urgency grows as the latest start approaches;
# about the time that a request waits for a slot under load.
_URGENCY_SECONDS = 0.2
_MIN_WORK_SECONDS = 0.001

# The priority and whether the request yields to others of this priority.
Level = tuple[int, bool]
Rank = tuple[int, bool, float, int]


class QueuedRequest(NamedTuple):
    """A queued request and the values that determine its position.

    Attributes:
        priority: The priority of its route, 0 for the most urgent.
        number: A sequence number in order of arrival.
        latest_start: Monotonic seconds after which it misses its latency
            target.
        work: The expected duration of its work in seconds.
        parking_lot: Where its task is parked until it becomes the first.
        is_above_share: Whether it yields to the requests of its priority whose
            organisations are within their share.
    """

    priority: int
    number: int
    latest_start: float
    work: float
    parking_lot: trio.lowlevel.ParkingLot
    is_above_share: bool = False

    @property
    def level(self) -> Level:
        """What precedes its urgency; requests of a lower level come first."""
        return self.priority, self.is_above_share

    def is_late(self, now: float) -> bool:
        """Returns whether it can no longer meet its latency target."""
        return self.latest_start < now

    def get_rank(self, now: float) -> Rank:
        """Returns the sort key of requests at `now`; the lowest comes first.

        Within a level this is the apparent tardiness cost rule: short
        requests come first, long ones as their latest start approaches.
        Ordering by the latest start alone would, under overload, serve each
        request when it is nearly too late, and short ones not at all.
        """
        slack = max(0.0, self.latest_start - now)
        return (
            self.priority,
            self.is_above_share,
            -self._get_value_rate(now) * math.exp(-slack / _URGENCY_SECONDS),
            self.number,
        )

    def get_urgency_key(self) -> float:
        """Returns a sort key for requests of one level that are not late.

        It doesn't change with time and gives the same order as `get_rank`.
        """
        work = max(_MIN_WORK_SECONDS, self.work)
        return self.latest_start / _URGENCY_SECONDS + math.log(work)

    def get_zero_slack_rank(self, now: float) -> Rank:
        """Returns the sort key without slack, as if all requests were urgent.

        Queued requests approach this order as time passes.
        """
        return (
            self.priority,
            self.is_above_share,
            -self._get_value_rate(now),
            self.number,
        )

    def _get_value_rate(self, now: float) -> float:
        """Returns the value of its response per second of work."""
        value = _LATE_VALUE if self.is_late(now) else 1.0
        return value / max(_MIN_WORK_SECONDS, self.work)
