"""A body that may pause only for a while."""

import trio

from rhubarbpaddle.exceptions import TruncatedError
from rhubarbpaddle.execution import Body


class IdleBody:
    """Bounds the pause before each part of another body."""

    def __init__(self, body: Body, seconds: float, peer: str) -> None:
        self._body = body
        self._seconds = seconds
        self._peer = peer

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        return self._body.length

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end.

        Raises:
            TruncatedError: The body ended early or paused for too long.
        """
        with trio.move_on_after(self._seconds):
            return await self._body.receive()
        raise TruncatedError(
            f"the body paused for {self._seconds} s",
            step="receive_body",
            peer=self._peer,
        )
