"""Which failures of a try permit another one."""

from collections import Counter

from rhubarbpaddle.configuration import Configuration
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.retry_budget import RetryBudget
from rhubarbpaddle.outcome import Outcome

# A full instance is told to queue the request from this try on. Later tries
# follow only if it refuses all the same, for example because its zone has just
# been taken out of service.
QUEUEING_ATTEMPT = 4
MAX_ATTEMPTS = 6
# Refusals passed on for each call. A refusal costs a round trip and no time of
# an upstream, so this is more than the ratio of retries.
_REDIRECT_RATIO = 0.5
# Redirects kept for instances that refuse although they were told to queue.
_RESERVED_REDIRECTS = 5
# Steps at which a refusal has cost the upstream nothing.
_ZERO_COST_STEPS = frozenset({"admit", "connect_peer", "connect_upstream"})
# Answers that another instance may not give.
_RETRYABLE_STATUSES = frozenset({502, 503, 504})


class RetryPolicy:
    """Spends the budgets for retries and for redirects.

    A redirect is another try after a refusal that cost the upstream nothing.
    A retry is another try after work that may have been done.

    Attributes:
        retried: Retries by service.
    """

    def __init__(self) -> None:
        # A failure at the end of a chain of calls can be retried twice: there
        # as a lost request, and by the first caller as a failed answer. Each
        # gets half of the budget, so that both together keep to it.
        self._retries = RetryBudget(fraction=0.5)
        self._response_retries = RetryBudget(fraction=0.5)
        self._redirects = RetryBudget(_REDIRECT_RATIO)
        self.retried: Counter[str] = Counter()

    def record_call(self, cfg: Configuration, service: str) -> None:
        """Notes a call before its first try."""
        self._retries.record_call(cfg, service)
        self._response_retries.record_call(cfg, service)
        self._redirects.record_call(cfg, service)

    def may_redirect(self, request: Request, attempts: int) -> bool:
        """Returns whether a full instance may refuse instead of queueing.

        Args:
            request: The request.
            tries: The number of the try that is about to be sent.
        """
        return attempts < QUEUEING_ATTEMPT and self._redirects.has_tokens(
            request.service, 1 + _RESERVED_REDIRECTS
        )

    def try_spend_for_refusal(
        self, request: Request, refusal: RefusedError, attempts: int
    ) -> bool:
        """Returns whether a refused request may be tried again.

        Args:
            request: The request.
            refusal: Why the last try failed.
            tries: How many tries were sent.
        """
        if not refusal.may_retry or attempts >= MAX_ATTEMPTS:
            return False
        if refusal.step in _ZERO_COST_STEPS:
            if request.may_queue:
                return self._redirects.try_spend(request.service)
            # The try was told to refuse while there were tokens. Other
            # requests may have spent them since, so this may go into debt.
            self._redirects.spend(request.service)
            return True
        not_run = refusal.outcome is Outcome.NOT_RUN
        if not (not_run or request.idempotent) or request.attempt > 1:
            return False
        if not_run and request.depth > 0:
            # An upstream passes on that its own call did not run. Only the
            # first caller retries this, or each level would.
            return False
        return self._record_retry(
            request, self._retries.try_spend(request.service)
        )

    def try_spend_for_response(
        self, request: Request, status: int, attempts: int
    ) -> bool:
        """Returns whether an answer may be dropped for another try.

        Below the first call of a chain an answer is final: it may tell of a
        failure further down, which has already been retried there.

        Args:
            request: The request.
            status: The status of the answer.
            tries: How many tries were sent.
        """
        permitted = (
            status in _RETRYABLE_STATUSES
            and request.idempotent
            and request.depth == 0
            and request.attempt == 1
            and attempts < MAX_ATTEMPTS
            and self._response_retries.try_spend(request.service)
        )
        return self._record_retry(request, permitted)

    def _record_retry(self, request: Request, permitted: bool) -> bool:
        if permitted:
            self.retried[request.service] += 1
        return permitted
