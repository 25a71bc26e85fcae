"""A connection between two nodes that carries framed messages."""

import struct

import msgspec
import trio

from rhubarbpaddle.exceptions import (
    PeerSilentError,
    ProtocolError,
    TruncatedError,
)
from rhubarbpaddle.peer.messages import Message

MAX_FRAME_BYTES = 1 << 20
_RECEIVE_BYTES = 1 << 16
_LENGTH = struct.Struct(">I")

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class PeerConnection:
    """Sends and receives messages over one byte stream.

    A frame is a 4-byte big-endian length and a MessagePack body.

    Attributes:
        peer: The far side's address or id, for errors and logs.
        broken: Whether the connection must not be used again.
    """

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        self.peer = peer
        self.stream = stream
        self.broken = False
        self._received = bytearray()
        self._send_lock = trio.StrictFIFOLock()

    async def send(self, *messages: Message) -> None:
        """Sends messages in one write.

        Raises:
            TruncatedError: The connection is gone.
        """
        frames = bytearray()
        for message in messages:
            body = _encoder.encode(message)
            frames += _LENGTH.pack(len(body))
            frames += body
        async with self._send_lock:
            try:
                await self.stream.send_all(bytes(frames))
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                self.broken = True
                raise TruncatedError(
                    "connection lost", step="send_message", peer=self.peer
                ) from exc
            except trio.Cancelled:
                # A frame may have been sent in part.
                self.broken = True
                raise

    async def receive(self) -> Message:
        """Returns the next message.

        Raises:
            TruncatedError: The connection ended.
            ProtocolError: The bytes are not a message.
        """
        header = await self._receive_exactly(_LENGTH.size)
        (length,) = _LENGTH.unpack(header)
        if length > MAX_FRAME_BYTES:
            self.broken = True
            raise ProtocolError(
                f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}",
                step="receive_message",
                peer=self.peer,
            )
        body = await self._receive_exactly(length)
        try:
            return _decoder.decode(body)
        except msgspec.DecodeError as exc:
            self.broken = True
            raise ProtocolError(
                str(exc), step="receive_message", peer=self.peer
            ) from exc

    async def receive_within(self, seconds: float) -> Message:
        """Returns the next message, or fails if nothing arrives in time.

        Args:
            seconds: How long the far side may be silent.

        Raises:
            PeerSilentError: Nothing arrived.
            TruncatedError: The connection ended.
            ProtocolError: The bytes are not a message.
        """
        with trio.move_on_after(seconds):
            return await self.receive()
        self.broken = True
        raise PeerSilentError(
            f"nothing received for {seconds} s",
            step="receive_message",
            peer=self.peer,
        )

    async def aclose(self) -> None:
        """Closes the connection at once."""
        self.broken = True
        await trio.aclose_forcefully(self.stream)

    async def _receive_exactly(self, length: int) -> bytes:
        received = self._received
        while len(received) < length:
            try:
                data = await self.stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                self.broken = True
                raise TruncatedError(
                    "connection lost", step="receive_message", peer=self.peer
                ) from exc
            if not data:
                self.broken = True
                raise TruncatedError(
                    "connection ended", step="receive_message", peer=self.peer
                )
            received += data
        content = bytes(received[:length])
        del received[:length]
        return content
