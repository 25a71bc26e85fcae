"""The interface of a slot, the permission to run one request."""

from typing import Protocol

from rhubarbpaddle.measuring import Evidence


class Slot(Protocol):
    """A slot of an upstream, held while one request runs."""

    def release(self, evidence: Evidence) -> None:
        """Releases the slot; a second call has no effect.

        Args:
            evidence: How the request ended, and its latency.
        """
        ...
