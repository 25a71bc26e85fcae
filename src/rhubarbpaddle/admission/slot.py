"""The permission to run one request."""

from typing import Protocol


class Slot(Protocol):
    """A slot of an upstream, held while one request runs."""

    def release(self, succeeded: bool, latency: float) -> None:
        """Gives the slot back.

        Args:
            succeeded: False if the upstream failed, shed or timed out.
            latency: Seconds that the upstream took.
        """
        ...
