"""Base of HTTP/1.1 connections: a byte stream and an h11 state machine."""

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
        h11: The h11 state machine.
        peer: The remote address, for errors and logs.
        stream: The byte stream.
        sending: Whether a send is in progress.
    """

    def __init__(self, stream: trio.abc.Stream, role: Role, peer: str) -> None:
        self.h11 = h11.Connection(role)
        self.peer = peer
        self.stream = stream
        self.sending = False

    async def send(self, *events: h11.Event) -> None:
        """Sends events in a single write.

        Raises:
            TruncatedError: The connection is closed.
            ProtocolError: The events are not allowed in this state.
        """
        try:
            data = b"".join([self.h11.send(event) or b"" for event in events])
        except h11.LocalProtocolError as exc:
            raise ProtocolError(str(exc), step="send", peer=self.peer) from exc
        if data:
            await self.send_bytes(data)

    async def send_bytes(self, data: bytes) -> None:
        """Sends raw bytes.

        Raises:
            TruncatedError: The connection is closed.
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
        """Returns the next h11 event, receiving bytes if necessary.

        Args:
            idle_seconds: The timeout for one complete event.

        Raises:
            PeerSilentError: No complete event arrived in time.
            TruncatedError: The connection is closed.
            ProtocolError: The received bytes are not valid HTTP/1.1.
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
        """Parses buffered bytes; returns an event or `h11.NEED_DATA`.

        Raises:
            ProtocolError: The received bytes are not valid HTTP/1.1.
        """
        try:
            return self.h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise ProtocolError(
                str(exc), step="receive", peer=self.peer
            ) from exc

    async def receive_bytes(self) -> bytes:
        """Returns the next bytes, or no bytes at the end of the stream.

        Raises:
            TruncatedError: The connection is closed.
        """
        try:
            return bytes(await self.stream.receive_some(_RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise TruncatedError(
                "connection lost", step="receive", peer=self.peer
            ) from exc

    async def aclose(self) -> None:
        """Closes the connection immediately."""
        await trio.aclose_forcefully(self.stream)
