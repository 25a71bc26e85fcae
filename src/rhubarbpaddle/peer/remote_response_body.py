"""Response body that another node sends in separate messages."""

from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import BodyChunk, BodyEnd, KeepAlive


class RemoteResponseBody:
    """Streams a response body from the node beside the instance.

    Attributes:
        complete: Whether the body was read to its end.
    """

    def __init__(
        self,
        conn: PeerConnection,
        request_id: str,
        length: int | None,
        timeout_seconds: float,
    ) -> None:
        self.complete = False
        self._conn = conn
        self._request_id = request_id
        self._length = length
        self._timeout_seconds = timeout_seconds

    @property
    def length(self) -> int | None:
        """Total bytes, or None if not known in advance."""
        return self._length

    async def receive(self) -> bytes:
        """Returns the next chunk, or no bytes at the end.

        Raises:
            PeerSilentError: No message arrived in time.
            TruncatedError: The connection ended before the end of the body.
            ProtocolError: A message arrived that does not belong to this body.
        """
        while not self.complete:
            message = await self._conn.receive_within(self._timeout_seconds)
            match message:
                case KeepAlive():
                    continue
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
