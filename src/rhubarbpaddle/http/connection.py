"""An HTTP/1.1 connection: a byte stream with an h11 state machine."""

import h11
import trio

from rhubarbpaddle.exceptions import ProtocolError, TruncatedError

_RECEIVE_BYTES = 1 << 16

Role = type[h11.CLIENT] | type[h11.SERVER]


class HttpConnection:
    """Sends and receives h11 events over a byte stream.

    Attributes:
        h11: The state machine of this side.
        peer: The far side's address, for errors and logs.
    """

    def __init__(self, stream: trio.abc.Stream, role: Role, peer: str) -> None:
        self.h11 = h11.Connection(role)
        self.peer = peer
        self.stream = stream

    async def send(self, *events: h11.Event) -> None:
        """Sends events in one write.

        Raises:
            TruncatedError: The connection is gone.
        """
        data = b"".join([self.h11.send(event) or b"" for event in events])
        if not data:
            return
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise TruncatedError(
                "connection lost", step="send", peer=self.peer
            ) from exc

    async def next_event(self) -> object:
        """Returns the next event.

        Raises:
            TruncatedError: The connection is gone.
            ProtocolError: The far side does not speak HTTP/1.1.
        """
        while True:
            try:
                event = self.h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self.stream.receive_some(_RECEIVE_BYTES)
                self.h11.receive_data(bytes(data))
            except h11.RemoteProtocolError as exc:
                raise ProtocolError(
                    str(exc), step="receive", peer=self.peer
                ) from exc
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise TruncatedError(
                    "connection lost", step="receive", peer=self.peer
                ) from exc

    async def aclose(self) -> None:
        """Closes the connection at once."""
        await trio.aclose_forcefully(self.stream)
