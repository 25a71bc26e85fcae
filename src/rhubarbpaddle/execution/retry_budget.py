"""The token bucket that limits the retries of a node."""

from rhubarbpaddle.configuration.configuration import Configuration

# Permits retries for a service with few calls. Otherwise the capacity is the
# number of tokens that `_CAPACITY_CALLS` calls earn.
_MIN_CAPACITY_TOKENS = 10.0
_CAPACITY_CALLS = 100


class RetryBudget:
    """Limits retries to a fixed fraction of the calls to each service.

    Each call earns a fraction of a token and each retry costs one token. When
    all calls fail, a node therefore sends at most (1 + ratio) times as many
    attempts as calls, plus the capacity of the bucket.
    """

    def __init__(
        self, ratio: float | None = None, fraction: float = 1.0
    ) -> None:
        """Creates a budget with the initial tokens for each service.

        Args:
            ratio: Retries permitted for each call; None uses the `retry_ratio`
                of the service.
            fraction: The fraction of the ratio and of the capacity that this
                budget may use.
        """
        self._ratio = ratio
        self._fraction = fraction
        self._initial_tokens = fraction * _MIN_CAPACITY_TOKENS
        self._tokens: dict[str, float] = {}

    def record_call(self, cfg: Configuration, service: str) -> None:
        """Records a call, which earns a fraction of a token."""
        ratio = self._get_ratio(cfg, service)
        capacity = max(self._initial_tokens, ratio * _CAPACITY_CALLS)
        tokens = self._tokens.get(service, self._initial_tokens)
        self._tokens[service] = min(capacity, tokens + ratio)

    def has_tokens(self, service: str, count: int = 1) -> bool:
        """Returns whether the service has at least this many tokens."""
        return self._tokens.get(service, self._initial_tokens) >= count

    def spend(self, service: str) -> None:
        """Takes a token; the balance may become negative."""
        tokens = self._tokens.get(service, self._initial_tokens)
        self._tokens[service] = tokens - 1

    def try_spend(self, service: str) -> bool:
        """Takes a token if there is one and returns whether it did."""
        if not self.has_tokens(service):
            return False
        self.spend(service)
        return True

    def _get_ratio(self, cfg: Configuration, service: str) -> float:
        if self._ratio is not None:
            return self._fraction * self._ratio
        service_settings = cfg.services.get(service)
        return (
            self._fraction * service_settings.retry_ratio
            if service_settings is not None
            else 0.0
        )
