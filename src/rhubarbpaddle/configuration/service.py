"""A service as the operators' text states it."""

from datetime import timedelta
from typing import NamedTuple


class Service(NamedTuple):
    """A service and its limits.

    Attributes:
        name: The service's name, as callers and upstreams give it.
        depends_on: The services that this one calls.
        slots: Requests that one instance can run at once.
        connections: Connections that one instance accepts at most.
        timeout: The deadline of a request that brings none.
        idempotent_methods: Methods that may be sent more than once.
        idempotent_targets: Prefixes of targets whose requests may be sent
            more than once whatever their method.
        key_required: Whether a non-idempotent request needs a key.
        undated_keys: Whether keys other than UUIDv7 are accepted.
        claim_window: How long a key is remembered.
        probe_share: The share of an upstream's time that probes may take.
        probe_cost: The upstream's time that one probe takes.
        retry_ratio: Retries that are permitted for each request.
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
