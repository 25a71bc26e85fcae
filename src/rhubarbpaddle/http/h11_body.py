"""Message body that is read from an h11 connection."""

from collections.abc import Awaitable, Callable, Iterable

import h11

from rhubarbpaddle.exceptions import TruncatedError


class H11Body:
    """Streams the body of the message that an h11 connection receives.

    Attributes:
        complete: Whether the body was read to its end.
    """

    def __init__(
        self,
        next_event: Callable[[], Awaitable[object]],
        length: int | None,
        peer: str,
    ) -> None:
        """Creates a body that has not been read yet.

        Args:
            next_event: Returns the connection's next h11 event.
            length: The body's length in bytes, or None if not known.
            peer: The remote address, for errors.
        """
        self.complete = False
        self._next_event = next_event
        self._length = length
        self._remaining = length
        self._peer = peer

    @property
    def length(self) -> int | None:
        """Total bytes, or None if not known in advance."""
        return self._length

    async def receive(self) -> bytes:
        """Returns the next chunk, or no bytes at the end.

        Raises:
            TruncatedError: The connection ended before the end of the body.
            ProtocolError: The received bytes are not a valid body.
        """
        while not self.complete:
            event = await self._next_event()
            match event:
                case h11.Data(data=data):
                    if not data:
                        continue
                    chunk = bytes(data)
                    if self._remaining is not None:
                        self._remaining -= len(chunk)
                        if not self._remaining:
                            await self._read_end()
                    return chunk
                case h11.EndOfMessage():
                    self.complete = True
                case _:
                    raise self._make_error()
        return b""

    async def _read_end(self) -> None:
        """Reads the end of a body of known length after its last chunk.

        Readers that know the length don't call `receive` again, but the
        connection can be reused only after the end was read. No bytes follow
        the last chunk, so this does not wait.
        """
        event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise self._make_error()
        self.complete = True

    def _make_error(self) -> TruncatedError:
        return TruncatedError(
            "the body ended early", step="receive_body", peer=self._peer
        )


def get_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Returns the value of `Content-Length`, or None if it is absent."""
    for key, value in headers:
        if key == b"content-length":
            return int(value)
    return None
