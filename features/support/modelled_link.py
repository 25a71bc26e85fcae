"""A host's outgoing link in virtual time."""

import trio


class ModelledLink:
    """Sends messages one after another at a limited rate.

    Writers never wait, as with the send buffers of an operating system.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    def send(self, size: int) -> float:
        """Queues a message; returns the time in seconds until it was sent."""
        now = trio.current_time()
        self._free_at = max(self._free_at, now) + size / self._rate
        return self._free_at - now
