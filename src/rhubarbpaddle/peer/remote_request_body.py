"""Request body that the gateway sends in separate messages."""

from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import Admitted, BodyChunk, BodyEnd


class RemoteRequestBody:
    """Streams a request body from the gateway, starting at the first read.

    The first read sends `Admitted`, which requests the body from the gateway.

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
        """Total bytes, or None if not known in advance."""
        return self._length

    def is_settled(self) -> bool:
        """Returns whether no further chunk can arrive.

        This holds if the body was never requested or was read completely.
        """
        return self.complete or not self._requested

    async def receive(self) -> bytes:
        """Returns the next chunk, or no bytes at the end.

        Raises:
            TruncatedError: The gateway's connection ended.
            ProtocolError: A message arrived that does not belong to this body.
        """
        if not self._requested:
            self._requested = True
            await self._conn.send(Admitted(self._request_id))
        while not self.complete:
            message = await self._conn.receive()
            match message:
                case BodyChunk(request_id=self._request_id, content=content):
                    if content:
                        return content
                case BodyEnd(request_id=self._request_id):
                    self.complete = True
                case _:
                    raise self._conn.make_unexpected_error(
                        message, "receive_body"
                    )
        return b""
