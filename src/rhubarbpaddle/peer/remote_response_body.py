"""Response body that another node sends in separate messages."""

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import BodyChunk, BodyEnd, KeepAlive

# The end of a body is sent right after its last chunk.
_END_SECONDS = 0.1


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
        self._received_bytes = 0
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
        return await self._receive_within(self._timeout_seconds)

    async def read_end(self) -> bool:
        """Reads the end of a body of which all bytes were read.

        A reader that knows the length does not ask for the end, but the
        connection can be reused only after it.

        Returns:
            Whether the body was read to its end.
        """
        if not self.complete and self._received_bytes == self._length:
            try:
                await self._receive_within(_END_SECONDS)
            except RhubarbpaddleError:
                # The response is complete; only the connection is lost.
                return False
        return self.complete

    async def _receive_within(self, seconds: float) -> bytes:
        while not self.complete:
            message = await self._conn.receive_within(seconds)
            match message:
                case KeepAlive():
                    continue
                case BodyChunk(request_id=self._request_id, content=content):
                    if content:
                        self._received_bytes += len(content)
                        return content
                case BodyEnd(request_id=self._request_id):
                    self.complete = True
                case _:
                    raise self._conn.make_unexpected_error(
                        message, "receive_body"
                    )
        return b""
