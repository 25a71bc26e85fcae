"""A service of the configuration."""

from datetime import timedelta
from typing import NamedTuple


class Service(NamedTuple):
    """A service with its limits and retry rules.

    Attributes:
        name: The name by which callers and upstreams refer to the service.
        depends_on: The services that this one calls.
        slots: The number of requests that one instance can run concurrently.
        connections: The largest number of connections that one instance
            accepts.
        timeout: The timeout of a request that specifies none.
        idempotent_methods: Methods that may be sent more than once.
        idempotent_targets: Prefixes of request targets whose requests may be
            sent more than once, regardless of method.
        key_required: Whether a non-idempotent request needs an idempotency key.
        undated_keys: Whether keys other than UUIDv7 are accepted.
        claim_window: How long an idempotency key is remembered.
        probe_share: The fraction of an upstream's time that probes may take.
        probe_cost: The time that the upstream spends on one probe.
        retry_ratio: The number of retries permitted per request, on average.
    """

    name: str
    depends_on: tuple[str, ...] = ()
    slots: int = 6
    connections: int = 240
    timeout: timedelta = timedelta(seconds=10)
    idempotent_methods: frozenset[str] = frozenset(
        {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
    )
    idempotent_targets: tuple[str, ...] = ()
    key_required: bool = True
    undated_keys: bool = False
    claim_window: timedelta = timedelta(hours=1)
    probe_share: float = 0.01
    probe_cost: timedelta = timedelta(milliseconds=6)
    retry_ratio: float = 0.1

    def is_idempotent(self, method: str, target: str) -> bool:
        """Returns whether a request may be sent more than once."""
        if method in self.idempotent_methods:
            return True
        return any(target.startswith(p) for p in self.idempotent_targets)
