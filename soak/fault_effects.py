"""Determines which failures the injected faults permit."""

from collections.abc import Sequence

from soak.records import DRILL, Fault, SentRequest

# How long the effects of a fault may last after it: reconnecting, replacing a
# reader of the store, or receiving a configuration.
_RECOVERY_SECONDS = 3.0
# Faults that affect the calls of all hosts to the store.
_STORE_FAULTS = frozenset({"reject_store_calls", "lose_store_responses", DRILL})


class FaultEffects:
    """Knows when faults permit failures, or an old configuration."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Creates the effects of the faults of a run."""
        self._faults = faults

    def has_unplanned_fault(self, start: float, end: float) -> bool:
        """Returns whether a fault permits failures within a time."""
        return any(
            # Requests need no store, and withdrawals hold in a drill.
            fault.name != DRILL and self._is_relevant(fault, start, end)
            for fault in self._faults
        )

    def may_be_outdated(self, request: SentRequest) -> bool:
        """Returns whether a fault may have kept a change from the node.

        Only faults of the node's own host or of the store may; those of other
        hosts must not.
        """
        return any(
            (fault.host == request.host or fault.name in _STORE_FAULTS)
            and self._is_relevant(fault, request.sent_at, request.ended_at)
            for fault in self._faults
        )

    def _is_relevant(self, fault: Fault, start: float, end: float) -> bool:
        return (
            not fault.is_planned
            and fault.permits_failures
            and fault.started_at < end
            and start < fault.ended_at + _RECOVERY_SECONDS
        )
