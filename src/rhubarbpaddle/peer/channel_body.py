"""A request's body, passed on by the task that reads the connection."""

import trio

from rhubarbpaddle.exceptions import TruncatedError
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import Admitted


class ChannelBody:
    """Asks for the body when it is first read, then takes it in parts."""

    def __init__(
        self,
        conn: PeerConnection,
        request_id: str,
        length: int | None,
        parts: trio.MemoryReceiveChannel[bytes],
    ) -> None:
        self._conn = conn
        self._request_id = request_id
        self._length = length
        self._parts = parts
        self._requested = False

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        return self._length

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end.

        Raises:
            TruncatedError: The gateway's connection ended.
        """
        if not self._requested:
            self._requested = True
            await self._conn.send(Admitted(self._request_id))
        try:
            return await self._parts.receive()
        except trio.EndOfChannel:
            raise TruncatedError(
                "the request's body ended early",
                step="receive_body",
                peer=self._conn.peer,
            ) from None
