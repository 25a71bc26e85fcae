"""The permission to run one request."""

from typing import Protocol

from rhubarbpaddle.measuring import Evidence


class Slot(Protocol):
    """A slot of an upstream, held while one request runs."""

    def release(self, evidence: Evidence) -> None:
        """Gives the slot back; a second call has no effect.

        Args:
            evidence: What the request showed of the upstream.
        """
        ...
