"""A body read from an h11 connection."""

from collections.abc import Awaitable, Callable, Iterable

import h11

from rhubarbpaddle.exceptions import TruncatedError


class EventBody:
    """Reads the body of the message that an h11 connection is receiving.

    Attributes:
        complete: Whether the body was read to its end.
    """

    def __init__(
        self,
        next_event: Callable[[], Awaitable[object]],
        length: int | None,
        peer: str,
    ) -> None:
        self.complete = False
        self._next_event = next_event
        self._length = length
        self._missing = length
        self._peer = peer

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        return self._length

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end.

        Raises:
            TruncatedError: The connection ended before the body was whole.
            ProtocolError: The bytes are not a valid body.
        """
        while not self.complete:
            event = await self._next_event()
            match event:
                case h11.Data(data=data):
                    if not data:
                        continue
                    part = bytes(data)
                    if self._missing is not None:
                        self._missing -= len(part)
                        if not self._missing:
                            await self._read_end()
                    return part
                case h11.EndOfMessage():
                    self.complete = True
                case _:
                    raise self._make_error()
        return b""

    async def _read_end(self) -> None:
        """Takes the end of a body of known length along with its last part.

        Readers that know the length do not ask again, and the connection can
        be used again only after its end was read. This does not wait.
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
    """Returns the length that a message's headers announce, or None."""
    for key, value in headers:
        if key == b"content-length":
            return int(value)
    return None
