"""Framed message connection between two nodes."""

import struct

import msgspec
import trio

from rhubarbpaddle.exceptions import (
    MalformedMessageError,
    PeerSilentError,
    ProtocolError,
    TruncatedError,
    UnsendableError,
)
from rhubarbpaddle.peer.messages import BodyChunk, KeepAlive, Message
from rhubarbpaddle.remote_state import RemoteState
from rhubarbpaddle.work_share import WorkShare

MAX_FRAME_BYTES = 1 << 20
_RECEIVE_BYTES = 1 << 16
# One `KeepAlive` per second at the check interval of `StreamWatch`.
_CHECKS_PER_KEEP_ALIVE = 10
_LENGTH_PREFIX = struct.Struct(">I")
# The estimated processor time to decode and handle a message.
_MESSAGE_SECONDS = 20e-6
# After this many messages, the connection counts them and other tasks run.
_MESSAGES_PER_CHECKPOINT = 64
# The work for a longer chunk of a body is bounded by the rate of its bytes.
_LONG_CHUNK_BYTES = 1024

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


# What the encoder raises for values that no message can carry.
_ENCODING_ERRORS = (ValueError, TypeError, OverflowError, RecursionError)


def _make_frame(message: Message, peer: str) -> bytes:
    try:
        body = _encoder.encode(message)
    except _ENCODING_ERRORS as exc:
        raise UnsendableError(
            f"{type(message).__name__} can't be encoded: {exc}",
            step="send_message",
            peer=peer,
        ) from exc
    if len(body) > MAX_FRAME_BYTES:
        # The other side would end the connection.
        raise UnsendableError(
            f"{type(message).__name__} of {len(body)} bytes exceeds "
            f"{MAX_FRAME_BYTES}",
            step="send_message",
            peer=peer,
        )
    return _LENGTH_PREFIX.pack(len(body)) + body


_KEEP_ALIVE_FRAME = _make_frame(KeepAlive(), "-")


class PeerConnection:
    """Sends and receives messages over one byte stream.

    A frame is a 4-byte big-endian length followed by a MessagePack body.

    Attributes:
        peer: The remote node's address or id, for errors and logs.
        stream: The byte stream.
        broken: Whether the connection must not be reused.
        idle_since: Monotonic time in seconds at which its last exchange ended.
        share: Limits the work for its messages.
    """

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        self.peer = peer
        self.stream = stream
        self.broken = False
        self.idle_since = 0.0
        self._received = bytearray()
        self._sending = False
        self._idle_checks = 0
        self.share = WorkShare()
        self._uncounted_messages = 0
        self._must_wait = False

    async def send(self, *messages: Message) -> None:
        """Sends one or more messages in a single write.

        Raises:
            TruncatedError: The connection is closed.
            UnsendableError: A message can't be encoded or is too long. Nothing
                was sent.
        """
        frames = b"".join(
            [_make_frame(message, self.peer) for message in messages]
        )
        # A cancelled send may have written only part of a frame.
        completed = False
        self._sending = True
        self._idle_checks = 0
        try:
            await self.stream.send_all(frames)
            completed = True
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise TruncatedError(
                "connection lost", step="send_message", peer=self.peer
            ) from exc
        finally:
            self._sending = False
            self.broken = self.broken or not completed

    def has_disconnected(self, state: RemoteState) -> bool:
        """Returns whether the peer has closed the connection."""
        return state is not RemoteState.OPEN

    def get_keep_alive(self, state: RemoteState) -> bytes:
        """Returns a `KeepAlive` frame once per second, otherwise no bytes."""
        self._idle_checks += 1
        if self._sending or self._idle_checks < _CHECKS_PER_KEEP_ALIVE:
            return b""
        self._idle_checks = 0
        return _KEEP_ALIVE_FRAME

    async def receive(self) -> Message:
        """Returns the next message.

        Safe to cancel and call again: a partly received frame stays buffered.
        Waits if the connection has used up its share of the processor.

        Raises:
            TruncatedError: The connection ended.
            MalformedMessageError: The frame is not a valid message. The next
                call returns the one behind it.
            ProtocolError: The frame is too long.
        """
        if self._uncounted_messages >= _MESSAGES_PER_CHECKPOINT:
            work_seconds = self._uncounted_messages * _MESSAGE_SECONDS
            self.share.charge(work_seconds, trio.current_time())
            self._uncounted_messages = 0
            self._must_wait = True
        if self._must_wait:
            # Waits again if it was cancelled.
            await self.share.wait()
            self._must_wait = False
        received = self._received
        while True:
            if len(received) >= _LENGTH_PREFIX.size:
                end = self._get_frame_end(received)
                if len(received) >= end:
                    body = bytes(received[_LENGTH_PREFIX.size : end])
                    del received[:end]
                    self._uncounted_messages += 1
                    message = self._decode(body)
                    if (
                        isinstance(message, BodyChunk)
                        and len(message.content) >= _LONG_CHUNK_BYTES
                    ):
                        self._uncounted_messages -= 1
                    return message
            received += await self._receive_some()

    async def receive_within(self, seconds: float) -> Message:
        """Returns the next message, or fails after a timeout.

        Args:
            seconds: The timeout for one complete message.

        Raises:
            PeerSilentError: No complete message arrived in time.
            TruncatedError: The connection ended.
            MalformedMessageError: The frame is not a valid message. The next
                call returns the one behind it.
            ProtocolError: The frame is too long.
        """
        with trio.move_on_after(seconds):
            return await self.receive()
        self.broken = True
        raise PeerSilentError(
            f"nothing received for {seconds} s",
            step="receive_message",
            peer=self.peer,
        )

    def make_unexpected_error(
        self, message: object, step: str
    ) -> ProtocolError:
        """Creates the error for an unexpected message.

        Marks the connection as broken, so that it is not reused.
        """
        self.broken = True
        return ProtocolError(
            f"unexpected {type(message).__name__}", step=step, peer=self.peer
        )

    async def aclose(self) -> None:
        """Closes the connection immediately."""
        self.broken = True
        await trio.aclose_forcefully(self.stream)

    def _get_frame_end(self, received: bytearray) -> int:
        (length,) = _LENGTH_PREFIX.unpack_from(received)
        if length > MAX_FRAME_BYTES:
            self.broken = True
            raise ProtocolError(
                f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}",
                step="receive_message",
                peer=self.peer,
            )
        return _LENGTH_PREFIX.size + int(length)

    def _decode(self, body: bytes) -> Message:
        try:
            return _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            self.broken = True
            raise MalformedMessageError(
                str(exc), step="receive_message", peer=self.peer
            ) from exc

    async def _receive_some(self) -> bytes:
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
        return bytes(data)
