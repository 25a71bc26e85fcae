"""Message body with a deadline."""

import trio

from rhubarbpaddle.exceptions import PeerSilentError
from rhubarbpaddle.execution import Body


class DeadlineBody:
    """Wraps a body and fails if it does not end before a deadline.

    Without a deadline, a body of unknown length could continue forever.
    """

    def __init__(self, body: Body, deadline: float, peer: str) -> None:
        """Wraps a body.

        Args:
            body: The body.
            deadline: The deadline as monotonic time in seconds.
            peer: The sender's address, for errors.
        """
        self._body = body
        self._deadline = deadline
        self._peer = peer

    @property
    def length(self) -> int | None:
        """Total bytes, or None if not known in advance."""
        return self._body.length

    async def receive(self) -> bytes:
        """Returns the next chunk, or no bytes at the end.

        Raises:
            PeerSilentError: The body did not end in time.
            TruncatedError: The connection ended before the end of the body.
        """
        with trio.move_on_at(self._deadline):
            return await self._body.receive()
        raise PeerSilentError(
            "the body did not end in time", step="receive_body", peer=self._peer
        )
