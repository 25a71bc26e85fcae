"""Decides which failed attempts may be retried."""

from collections import Counter

from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.retry_budget import RetryBudget
from rhubarbpaddle.outcome import Outcome

# From this attempt on, the request may queue at a full instance. Later attempts
# follow only if the instance refuses nevertheless, for example because its
# availability zone has just been taken out of service.
QUEUEING_ATTEMPT = 4
MAX_ATTEMPTS = 6
# Redirects permitted for each call. A refusal costs a round trip but no
# upstream time, so this ratio is higher than the ratio of retries.
_REDIRECT_RATIO = 0.5
# Redirects reserved for refusals of requests that were permitted to queue.
_RESERVED_REDIRECTS = 5
# Steps at which a refusal costs the upstream no work.
_ZERO_COST_STEPS = frozenset({"admit", "connect_peer", "connect_upstream"})
# Statuses for which a retry at another instance may succeed.
_RETRYABLE_STATUSES = frozenset({502, 503, 504})


class RetryPolicy:
    """Spends the budgets for retries and for redirects.

    A redirect is another attempt after a refusal that cost the upstream no
    work. A retry is another attempt after work that may have been done.

    Attributes:
        retried: The number of retries by service.
    """

    def __init__(self) -> None:
        # A failure at the end of a chain of calls can be retried twice: there
        # as a lost request, and at the start of the chain as a failed response.
        # Each kind gets half of the budget, so that both together stay within
        # it.
        self._retry_budget = RetryBudget(fraction=0.5)
        self._response_retry_budget = RetryBudget(fraction=0.5)
        self._redirect_budget = RetryBudget(_REDIRECT_RATIO)
        self.retried: Counter[str] = Counter()

    def record_call(self, cfg: Configuration, service: str) -> None:
        """Records a call before its first attempt."""
        self._retry_budget.record_call(cfg, service)
        self._response_retry_budget.record_call(cfg, service)
        self._redirect_budget.record_call(cfg, service)

    def may_redirect(self, request: Request, attempts: int) -> bool:
        """Returns whether a full instance may refuse instead of queueing.

        Args:
            request: The request.
            attempts: The number of the attempt that is about to be sent.
        """
        return attempts < QUEUEING_ATTEMPT and self._redirect_budget.has_tokens(
            request.service, 1 + _RESERVED_REDIRECTS
        )

    def try_spend_for_refusal(
        self, request: Request, refusal: RefusedError, attempts: int
    ) -> bool:
        """Permits another attempt after a refusal and charges its budget.

        Args:
            request: The request.
            refusal: Why the last attempt failed.
            attempts: How many attempts were sent.

        Returns:
            Whether the request may be sent again.
        """
        if not refusal.may_retry or attempts >= MAX_ATTEMPTS:
            return False
        if refusal.step in _ZERO_COST_STEPS:
            if request.may_queue:
                return self._redirect_budget.try_spend(request.service)
            # The attempt was sent without permission to queue because there
            # were tokens. Other requests may have spent them since, so the
            # balance may become negative.
            self._redirect_budget.spend(request.service)
            return True
        not_run = refusal.outcome is Outcome.NOT_RUN
        if not (not_run or request.idempotent) or request.attempt > 1:
            return False
        if not_run and request.depth > 0:
            # An upstream passes on the refusal of its own call. Only the start
            # of the chain retries it; otherwise each level would.
            return False
        return self._record_retry(
            request, self._retry_budget.try_spend(request.service)
        )

    def try_spend_for_response(
        self, request: Request, status: int, attempts: int
    ) -> bool:
        """Permits another attempt after a failed response; charges its budget.

        Below the first call of a chain, a response is final: it may report a
        failure further down the chain, which was already retried there.

        Args:
            request: The request.
            status: The HTTP status of the response.
            attempts: How many attempts were sent.

        Returns:
            Whether the request may be sent again.
        """
        permitted = (
            status in _RETRYABLE_STATUSES
            and request.idempotent
            and request.depth == 0
            and request.attempt == 1
            and attempts < MAX_ATTEMPTS
            and self._response_retry_budget.try_spend(request.service)
        )
        return self._record_retry(request, permitted)

    def _record_retry(self, request: Request, permitted: bool) -> bool:
        if permitted:
            self.retried[request.service] += 1
        return permitted
