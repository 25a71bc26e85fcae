"""This node's part of the retries that all nodes may send together."""

from collections import defaultdict, deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from rhubarbpaddle.clock import Clock

# A retry may start further calls, which count as retries where they arrive,
# and nodes do not know each other's counts.
_USED_SHARE = 0.5


class RetryTerms(NamedTuple):
    """What all nodes together may repeat.

    Attributes:
        ratio: Retries for each request.
        slack: Retries in a window that need no request.
        window: The span over which both are counted.
    """

    ratio: float
    slack: float
    window: timedelta


class SharedRetryBudget:
    """Counts requests and retries of each service over a sliding window."""

    def __init__(
        self, terms: RetryTerms, clock: Clock, count_nodes: Callable[[], int]
    ) -> None:
        """Makes an empty record.

        Args:
            terms: What all nodes together may repeat.
            clock: The source of time.
            count_nodes: Returns how many nodes share the budget.
        """
        self._terms = terms
        self._clock = clock
        self._count_nodes = count_nodes
        self._requests: defaultdict[str, deque[float]] = defaultdict(deque)
        self._retries: defaultdict[str, deque[float]] = defaultdict(deque)

    def note_request(self, service: str) -> None:
        """Notes a request before its first try."""
        self._requests[service].append(self._clock.monotonic())

    def try_spend(self, service: str) -> bool:
        """Takes a retry if there is one, and returns whether there was."""
        requests = self._trim(self._requests[service])
        retries = self._trim(self._retries[service])
        slack = self._terms.slack / max(1, self._count_nodes())
        allowed = _USED_SHARE * (self._terms.ratio * requests + slack)
        if retries + 1 > allowed:
            return False
        self._retries[service].append(self._clock.monotonic())
        return True

    def _trim(self, times: deque[float]) -> int:
        oldest = self._clock.monotonic() - self._terms.window.total_seconds()
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
