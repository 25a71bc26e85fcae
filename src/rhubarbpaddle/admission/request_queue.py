"""The queue of requests for one instance."""

import itertools
import math
from collections.abc import Iterator

import trio

from rhubarbpaddle.admission.priority_level_queue import PriorityLevelQueue
from rhubarbpaddle.admission.queued_request import Level, QueuedRequest


class RequestQueue:
    """Orders requests by priority, fair share and cost of a delay."""

    def __init__(self) -> None:
        self._levels: dict[Level, PriorityLevelQueue] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(map(len, self._levels.values()))

    def __iter__(self) -> Iterator[QueuedRequest]:
        return itertools.chain.from_iterable(self._levels.values())

    def create_request(
        self,
        priority: int,
        latest_start: float,
        work: float,
        is_above_share: bool = False,
    ) -> QueuedRequest:
        """Creates a request that ranks behind earlier ones of equal urgency.

        Args:
            priority: The priority of its route, 0 for the most urgent.
            latest_start: Monotonic seconds after which it misses its latency
                target.
            work: The expected duration of its work in seconds.
            is_above_share: Whether it yields to the others of its priority.
        """
        return QueuedRequest(
            priority,
            next(self._numbers),
            latest_start,
            work,
            trio.lowlevel.ParkingLot(),
            is_above_share,
        )

    def add(self, request: QueuedRequest) -> None:
        """Adds a request."""
        queue = self._levels.setdefault(request.level, PriorityLevelQueue())
        queue.add(request)

    def remove(self, request: QueuedRequest) -> None:
        """Removes a request."""
        queue = self._levels[request.level]
        queue.remove(request)
        if not queue:
            del self._levels[request.level]

    def count_up_to(self, level: Level) -> int:
        """Returns how many requests are of a level or a lower one.

        It takes constant time, unlike `count_ahead`.
        """
        return sum(
            len(queue)
            for other, queue in self._levels.items()
            if other <= level
        )

    def count_ahead(self, request: QueuedRequest, now: float) -> int:
        """Returns how many requests will be served before a request."""
        rank = request.get_zero_slack_rank(now)
        return sum(other.get_zero_slack_rank(now) < rank for other in self)

    def count_late_ahead(self, request: QueuedRequest, now: float) -> int:
        """Returns how many late requests will be served before a late one."""
        rank = request.get_zero_slack_rank(now)
        return sum(
            other.is_late(now) and other.get_zero_slack_rank(now) < rank
            for other in self
        )

    def get_earliest_latest_start(self, priority: int, now: float) -> float:
        """Returns the earliest latest start of less urgent requests.

        Requests above their organisation's share and late requests don't
        count; without any other the result is infinite.

        Args:
            priority: The priority that the requests are less urgent than.
            now: Monotonic seconds.
        """
        return min(
            (
                queue.get_earliest_latest_start(now)
                for (other, is_above_share), queue in self._levels.items()
                if other > priority and not is_above_share
            ),
            default=math.inf,
        )

    def get_first(self, now: float) -> QueuedRequest:
        """Returns the request to serve next.

        Raises:
            ValueError: The queue is empty.
        """
        return self._levels[min(self._levels)].get_first(now)

    def wake_first(self, now: float) -> None:
        """Resumes the task of the request to serve next.

        The other tasks stay parked: with hundreds of queued requests, waking
        all of them whenever a request ends takes more time than serving them.
        """
        if self._levels:
            self.get_first(now).parking_lot.unpark_all()
