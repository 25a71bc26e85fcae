"""How many retries a node may send."""

from rhubarbpaddle.configuration import Configuration

# Lets a service with few calls retry at all.
_MIN_CAPACITY = 10.0
_CAPACITY_CALLS = 100


class RetryBudget:
    """Permits retries as a fixed share of the calls of each service.

    Each call earns a fraction of a token and each retry costs one. When
    everything fails, the tries of a node are therefore at most (1 + ratio)
    times its calls, plus the capacity.
    """

    def __init__(self, ratio: float | None = None, fraction: float = 1.0) -> None:
        """Makes an empty record.

        Args:
            ratio: Retries for each call; None takes `retry_ratio` of the
                service.
            share: The part of the ratio and of the capacity that this budget
                may use.
        """
        self._ratio = ratio
        self._fraction = fraction
        self._initial_tokens = fraction * _MIN_CAPACITY
        self._tokens: dict[str, float] = {}

    def record_call(self, cfg: Configuration, service: str) -> None:
        """Notes a call, which earns a part of a retry."""
        ratio = self._get_ratio(cfg, service)
        capacity = max(self._initial_tokens, ratio * _CAPACITY_CALLS)
        tokens = self._tokens.get(service, self._initial_tokens)
        self._tokens[service] = min(capacity, tokens + ratio)

    def has_tokens(self, service: str, count: int = 1) -> bool:
        """Returns whether so many retries may be sent."""
        return self._tokens.get(service, self._initial_tokens) >= count

    def spend(self, service: str) -> None:
        """Takes a token, and goes into debt if there is none."""
        tokens = self._tokens.get(service, self._initial_tokens)
        self._tokens[service] = tokens - 1

    def try_spend(self, service: str) -> bool:
        """Takes a token if there is one, and returns whether there was."""
        if not self.has_tokens(service):
            return False
        self.spend(service)
        return True

    def _get_ratio(self, cfg: Configuration, service: str) -> float:
        if self._ratio is not None:
            return self._fraction * self._ratio
        found = cfg.services.get(service)
        return self._fraction * found.retry_ratio if found is not None else 0.0
