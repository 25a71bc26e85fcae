"""An HTTP/1.1 connection: a byte stream with an h11 state machine."""

import math

import h11
import trio

from rhubarbpaddle.exceptions import (
    PeerSilentError,
    ProtocolError,
    TruncatedError,
)

_RECEIVE_BYTES = 1 << 16

Role = type[h11.CLIENT] | type[h11.SERVER]


class HttpConnection:
    """Sends and receives h11 events over a byte stream.

    Attributes:
        h11: The state machine of this side.
        peer: The far side's address, for errors and logs.
        stream: The byte stream.
        sending: Whether bytes are being sent.
    """

    def __init__(self, stream: trio.abc.Stream, role: Role, peer: str) -> None:
        self.h11 = h11.Connection(role)
        self.peer = peer
        self.stream = stream
        self.sending = False

    async def send(self, *events: h11.Event) -> None:
        """Sends events in one write.

        Raises:
            TruncatedError: The connection is gone.
            ProtocolError: The events are not a valid message.
        """
        try:
            data = b"".join([self.h11.send(event) or b"" for event in events])
        except h11.LocalProtocolError as exc:
            raise ProtocolError(str(exc), step="send", peer=self.peer) from exc
        if data:
            await self.send_bytes(data)

    async def send_bytes(self, data: bytes) -> None:
        """Sends bytes.

        Raises:
            TruncatedError: The connection is gone.
        """
        self.sending = True
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise TruncatedError(
                "connection lost", step="send", peer=self.peer
            ) from exc
        finally:
            self.sending = False

    async def next_event(self, idle_seconds: float = math.inf) -> object:
        """Returns the next event.

        Args:
            idle_seconds: How long the far side may be silent.

        Raises:
            PeerSilentError: It was silent for longer.
            TruncatedError: The connection is gone.
            ProtocolError: The far side does not speak HTTP/1.1.
        """
        event = self.parse_event()
        if event is not h11.NEED_DATA:
            return event
        with trio.move_on_after(idle_seconds):
            while event is h11.NEED_DATA:
                self.h11.receive_data(await self.receive_bytes())
                event = self.parse_event()
            return event
        raise PeerSilentError(
            f"nothing received for {idle_seconds} s",
            step="receive",
            peer=self.peer,
        )

    def parse_event(self) -> object:
        """Returns the next event that has arrived, or `h11.NEED_DATA`.

        Raises:
            ProtocolError: The far side does not speak HTTP/1.1.
        """
        try:
            return self.h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise ProtocolError(
                str(exc), step="receive", peer=self.peer
            ) from exc

    async def receive_bytes(self) -> bytes:
        """Returns the next bytes, or none at the end of the stream.

        Raises:
            TruncatedError: The connection is gone.
        """
        try:
            return bytes(await self.stream.receive_some(_RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise TruncatedError(
                "connection lost", step="receive", peer=self.peer
            ) from exc

    async def aclose(self) -> None:
        """Closes the connection at once."""
        await trio.aclose_forcefully(self.stream)
