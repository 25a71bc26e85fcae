"""A body that must end in time."""

import trio

from rhubarbpaddle.exceptions import PeerSilentError
from rhubarbpaddle.execution import Body


class TimedBody:
    """Passes a body on until a moment after which nobody waits for it.

    A body without a length, or one in chunks, may go on without end.
    """

    def __init__(self, body: Body, until: float, peer: str) -> None:
        """Makes a body that ends in time or fails.

        Args:
            body: The body.
            until: Monotonic seconds of its latest end.
            peer: Who sends it, for errors.
        """
        self._body = body
        self._until = until
        self._peer = peer

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        return self._body.length

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end.

        Raises:
            PeerSilentError: The body did not end in time.
            TruncatedError: The connection ended before the body was whole.
        """
        with trio.move_on_at(self._until):
            return await self._body.receive()
        raise PeerSilentError(
            "the body did not end in time", step="receive_body", peer=self._peer
        )
