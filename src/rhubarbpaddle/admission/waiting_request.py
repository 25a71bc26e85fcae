"""A request that waits for an instance."""

import math
from typing import NamedTuple

import trio

# What an answer after the latency target is worth beside one in time: callers
# of routes give a tenth to a fifth for it, running work that waits for a
# lookup gives all.
_LATE_WEIGHT = 0.25
# How fast urgency grows as the latest start comes near; about the time that a
# request waits for a slot under load.
_SLACK_SECONDS = 0.2
_LEAST_WORK_SECONDS = 0.001


class WaitingRequest(NamedTuple):
    """A request that waits.

    Attributes:
        priority: The rank of its route, 0 for the most urgent.
        number: Orders requests by arrival.
        latest_start: Monotonic seconds after which its answer will be late.
        work: Seconds that its route's requests usually take.
        turn: Where its task waits to become the first.
    """

    priority: int
    number: int
    latest_start: float
    work: float
    turn: trio.lowlevel.ParkingLot

    def is_late(self, now: float) -> bool:
        """Returns whether it can't meet its latency target any more."""
        return self.latest_start < now

    def get_rank(self, now: float) -> tuple[int, float, int]:
        """Returns what orders requests at this moment; the lowest is first.

        Within a priority this is the rule of the apparent tardiness cost:
        short requests come first, others as their latest start comes near.
        Under overload the earliest latest start alone would serve each
        request when it is nearly too late, and short ones not at all.
        """
        slack = max(0.0, self.latest_start - now)
        return (
            self.priority,
            -self._get_worth(now) * math.exp(-slack / _SLACK_SECONDS),
            self.number,
        )

    def get_urgency_key(self) -> float:
        """Returns what orders requests of a priority that are not late.

        The lowest is first, as by `get_rank`, at any moment.
        """
        work = max(_LEAST_WORK_SECONDS, self.work)
        return self.latest_start / _SLACK_SECONDS + math.log(work)

    def get_lasting_rank(self, now: float) -> tuple[int, float, int]:
        """Returns what orders requests once all of them are urgent."""
        return self.priority, -self._get_worth(now), self.number

    def _get_worth(self, now: float) -> float:
        """Returns what a second of work on it is worth, in requests."""
        weight = _LATE_WEIGHT if self.is_late(now) else 1.0
        return weight / max(_LEAST_WORK_SECONDS, self.work)
