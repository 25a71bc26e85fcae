"""The interface that learns how requests end at the instance."""

from typing import Protocol

from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.measuring import EvidenceKind
from rhubarbpaddle.membership import UpstreamSummary


class Observation(Protocol):
    """Learns how one request ends."""

    def record_response(self, status: int, latency: float | None) -> None:
        """Records the response; the latency is None if it says nothing."""
        ...

    def record_error(self, kind: EvidenceKind, latency: float | None) -> None:
        """Records that the request ended without a response."""
        ...


class ResponseObserver(Protocol):
    """Observes the requests that an instance runs."""

    def is_stopped(self, summary: UpstreamSummary) -> bool:
        """Returns whether the instance must not receive requests."""
        ...

    def start(self, attached: AttachedInstance, route: str) -> Observation:
        """Returns what is told of the end of a request that begins now."""
        ...


class _NoObservation:
    """Ignores the end of a request."""

    def record_response(self, status: int, latency: float | None) -> None:
        """Does nothing."""

    def record_error(self, kind: EvidenceKind, latency: float | None) -> None:
        """Does nothing."""


NO_OBSERVATION: Observation = _NoObservation()


class _NoObserver:
    """Observes nothing, as without roll-outs."""

    def is_stopped(self, summary: UpstreamSummary) -> bool:
        """Returns False."""
        return False

    def start(self, attached: AttachedInstance, route: str) -> Observation:
        """Returns an observation that ignores the end of the request."""
        return NO_OBSERVATION


NO_OBSERVER: ResponseObserver = _NoObserver()
