"""This node's fraction of the retries that all nodes may send together."""

from collections import defaultdict, deque
from collections.abc import Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.retry_terms import RetryTerms

# Half of the limit is reserved: nodes do not exchange their counts, and a
# service receives the calls of repeated runs in addition to its own retries.
_RETRY_FRACTION = 0.5
# A repeated run repeats its calls, often two or more to one service, which
# cannot distinguish them from first calls.
_REPEATED_RUN_FRACTION = 0.2


class SharedRetryBudget:
    """Counts requests and retries of each service over a sliding window."""

    def __init__(
        self, terms: RetryTerms, clock: Clock, count_nodes: Callable[[], int]
    ) -> None:
        """Creates a budget without recorded requests or retries.

        Args:
            terms: The limits on the retries of all nodes together.
            clock: The source of time.
            count_nodes: Returns the number of nodes that share the budget.
        """
        self._terms = terms
        self._clock = clock
        self._count_nodes = count_nodes
        self._requests: defaultdict[str, deque[float]] = defaultdict(deque)
        self._retries: defaultdict[str, deque[float]] = defaultdict(deque)
        self._repeated_runs: defaultdict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str) -> None:
        """Records a request before its first attempt."""
        times = self._requests[service]
        times.append(self._clock.monotonic())
        # Retries, which count the requests, may be rare.
        self._discard_old(times)

    def try_spend(self, service: str, *, may_have_run: bool) -> bool:
        """Takes a retry from the budget if there is one.

        Args:
            service: The service that the request is for.
            may_have_run: Whether the request may have run already, so that its
                own calls may be repeated too.

        Returns:
            Whether the retry may be sent.
        """
        repeated_runs = self._repeated_runs[service]
        if may_have_run and not self._is_within_budget(
            repeated_runs, service, _REPEATED_RUN_FRACTION
        ):
            return False
        retries = self._retries[service]
        if not self._is_within_budget(retries, service, _RETRY_FRACTION):
            return False
        now = self._clock.monotonic()
        retries.append(now)
        if may_have_run:
            repeated_runs.append(now)
        return True

    def _is_within_budget(
        self, retry_times: deque[float], service: str, fraction: float
    ) -> bool:
        requests = self._count_in_window(self._requests[service])
        slack = self._terms.slack / max(1, self._count_nodes())
        allowed = fraction * (self._terms.ratio * requests + slack)
        return self._count_in_window(retry_times) + 1 <= allowed

    def _count_in_window(self, times: deque[float]) -> int:
        self._discard_old(times)
        return len(times)

    def _discard_old(self, times: deque[float]) -> None:
        oldest = self._clock.monotonic() - self._terms.window.total_seconds()
        while times and times[0] < oldest:
            times.popleft()
