"""The body of a call that follows in messages of its own."""

from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import Admitted, BodyEnd, BodyPart


class CallBody:
    """Asks for the body when it is first read, then takes it in parts.

    Attributes:
        complete: Whether the body was read to its end.
    """

    def __init__(
        self, conn: PeerConnection, request_id: str, length: int | None
    ) -> None:
        self.complete = False
        self._conn = conn
        self._request_id = request_id
        self._length = length
        self._requested = False

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        return self._length

    def is_settled(self) -> bool:
        """Returns whether no part of this body can arrive any more."""
        return self.complete or not self._requested

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end.

        Raises:
            TruncatedError: The gateway's connection ended.
            ProtocolError: A message of another exchange arrived.
        """
        if not self._requested:
            self._requested = True
            await self._conn.send(Admitted(self._request_id))
        while not self.complete:
            message = await self._conn.receive()
            match message:
                case BodyPart(request_id=self._request_id, content=content):
                    if content:
                        return content
                case BodyEnd(request_id=self._request_id):
                    self.complete = True
                case _:
                    raise self._conn.make_unexpected(message, "receive_body")
        return b""
