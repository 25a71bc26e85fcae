"""This node's fraction of the retries that all nodes may send together."""

from collections import defaultdict
from collections.abc import Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.event_window import EventWindow
from rhubarbpaddle.execution.retry_terms import RetryTerms

# Half of the limit is reserved: nodes do not exchange their counts, and a
# service receives the calls of repeated runs in addition to its own retries.
_RETRY_FRACTION = 0.5
# A repeated run repeats its calls, often two or more to one service, which
# cannot distinguish them from first calls.
_REPEATED_RUN_FRACTION = 0.2


class SharedRetryBudget:
    """Counts requests and retries of each service over a sliding window.

    Load pattern: the requests of one organisation fail more often than those of
    others, or are many. Its retries are limited to its part of the service's
    requests. The total is the same with and without organisations.
    """

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
        self._requests: defaultdict[str, EventWindow] = defaultdict(EventWindow)
        self._retries: defaultdict[str, EventWindow] = defaultdict(EventWindow)
        self._repeated_runs: defaultdict[str, EventWindow] = defaultdict(
            EventWindow
        )

    def record_request(self, service: str, organisation: str = "") -> None:
        """Records a request before its first attempt.

        Args:
            service: The service that the request is for.
            organisation: The organisation that it belongs to, or the empty
                string.
        """
        window = self._requests[service]
        window.add(self._clock.monotonic(), organisation)
        # Retries, which count the requests, may be rare.
        self._discard_old(window)

    def try_spend(
        self, service: str, *, may_have_run: bool, organisation: str = ""
    ) -> bool:
        """Takes a retry from the budget if there is one.

        Args:
            service: The service that the request is for.
            may_have_run: Whether the request may have run already, so that its
                own calls may be repeated too.
            organisation: The organisation that it belongs to, or the empty
                string.

        Returns:
            Whether the retry may be sent.
        """
        repeated_runs = self._repeated_runs[service]
        if may_have_run and not self._is_within_budget(
            repeated_runs, service, organisation, _REPEATED_RUN_FRACTION
        ):
            return False
        retries = self._retries[service]
        if not self._is_within_budget(
            retries, service, organisation, _RETRY_FRACTION
        ):
            return False
        now = self._clock.monotonic()
        retries.add(now, organisation)
        if may_have_run:
            repeated_runs.add(now, organisation)
        return True

    def _is_within_budget(
        self,
        retries: EventWindow,
        service: str,
        organisation: str,
        fraction: float,
    ) -> bool:
        requests = self._requests[service]
        self._discard_old(requests)
        self._discard_old(retries)
        slack = self._terms.slack / max(1, self._count_nodes())
        allowed = fraction * (self._terms.ratio * len(requests) + slack)
        if len(retries) + 1 > allowed:
            return False
        if not organisation:
            return True
        own_part = (
            allowed * requests.count(organisation) / max(1, len(requests))
        )
        # A part below 1 permits a retry, because most organisations have few
        # requests at any one node.
        return retries.count(organisation) + 1 <= max(1.0, own_part)

    def _discard_old(self, window: EventWindow) -> None:
        oldest = self._clock.monotonic() - self._terms.window.total_seconds()
        window.discard_before(oldest)
