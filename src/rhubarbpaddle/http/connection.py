"""Base of HTTP/1.1 connections: a byte stream and an h11 state machine."""

import math
import re
from collections.abc import Iterable

import h11
import trio

from rhubarbpaddle.exceptions import (
    PeerSilentError,
    ProtocolError,
    TruncatedError,
)
from rhubarbpaddle.http.chunk_merger import ChunkMerger
from rhubarbpaddle.http.protocol_error_text import describe_protocol_error
from rhubarbpaddle.work_share import WorkShare

_RECEIVE_BYTES = 1 << 16
_HEAD_END = re.compile(rb"\n\r?\n")
# The longest end of a head that may be missing its last byte.
_PARTIAL_END_BYTES = 3
# How long reading pauses for each small chunk, which is about ten times as long
# as merging it takes. A connection that sends nothing else so uses about a
# tenth of the processor.
_PAUSE_SECONDS_PER_CHUNK = 10e-6
_MIN_PAUSE_SECONDS = 0.001
# After this many small chunks of a body, only so many bytes are merged at a
# time, which takes up to 4 ms.
_MANY_CHUNKS = 64
_MERGED_BYTES = 8 * 1024
# Other tasks run after this many events that were parsed without a wait.
_MAX_CONSECUTIVE_EVENTS = 64

Role = type[h11.CLIENT] | type[h11.SERVER]


class HttpConnection:
    """Sends and receives h11 events over a byte stream.

    Attributes:
        h11: The h11 state machine.
        peer: The remote address, for errors and logs.
        stream: The byte stream.
        sending: Whether a send is in progress.
        unparsed: Received bytes behind a head, which the state machine gets
            once it is known whether they begin a chunked body.
        share: Limits the work for short requests and refusals.
    """

    def __init__(self, stream: trio.abc.Stream, role: Role, peer: str) -> None:
        self.h11 = h11.Connection(role)
        self.peer = peer
        self.stream = stream
        self.sending = False
        self.unparsed = b""
        self.share = WorkShare()
        self._merger: ChunkMerger | None = None
        self._consecutive_events = 0

    async def send(self, *events: h11.Event) -> None:
        """Sends events in a single write.

        Raises:
            TruncatedError: The connection is closed.
            ProtocolError: The events are not allowed in this state.
        """
        try:
            data = b"".join([self.h11.send(event) or b"" for event in events])
        except h11.LocalProtocolError as exc:
            raise ProtocolError(
                describe_protocol_error(exc), step="send", peer=self.peer
            ) from exc
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
        # Before an event is parsed, since a cancelled checkpoint would lose it.
        if self._consecutive_events >= _MAX_CONSECUTIVE_EVENTS:
            self._consecutive_events = 0
            await trio.lowlevel.checkpoint()
        event = self.parse_event()
        if event is not h11.NEED_DATA:
            self._consecutive_events += 1
            return event
        self._consecutive_events = 0
        with trio.move_on_after(idle_seconds):
            while event is h11.NEED_DATA:
                await self.parse_bytes(await self.receive_bytes())
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
                describe_protocol_error(exc), step="receive", peer=self.peer
            ) from exc

    async def parse_bytes(self, data: bytes) -> None:
        """Gives received bytes to the state machine.

        In a chunked body, reading pauses for a time that grows with the number
        of small chunks.

        Args:
            data: The bytes, or no bytes at the end of the stream.
        """
        if self._merger is None:
            self.h11.receive_data(data)
            return
        merged_before = self._merger.merged
        if merged_before >= _MANY_CHUNKS:
            self.unparsed = data[_MERGED_BYTES:] + self.unparsed
            data = data[:_MERGED_BYTES]
        parsed = self._merger.feed(data)
        if parsed:
            self.h11.receive_data(parsed)
        if not data:
            self.h11.receive_data(b"")
        pause = _PAUSE_SECONDS_PER_CHUNK * (self._merger.merged - merged_before)
        if pause >= _MIN_PAUSE_SECONDS:
            await trio.sleep(pause)

    def parse_head_bytes(self, data: bytes) -> None:
        """Gives received bytes up to the end of a head to the state machine.

        `receive_bytes` returns the bytes behind it again.

        Args:
            data: The bytes, or no bytes at the end of the stream.
        """
        parsed, _ = self.h11.trailing_data
        before = parsed[-_PARTIAL_END_BYTES:]
        received = before + data
        # Empty lines before a head are no end of it.
        start = 0 if parsed.strip(b"\r\n") else _find_text(received)
        match = _HEAD_END.search(received, start)
        end = len(data) if match is None else match.end() - len(before)
        self.unparsed = data[end:] + self.unparsed
        self.h11.receive_data(data[:end])

    def start_body(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Prepares to read the body of the message whose head was parsed."""
        is_chunked = any(key == b"transfer-encoding" for key, _ in headers)
        self._merger = ChunkMerger() if is_chunked else None

    async def receive_bytes(self) -> bytes:
        """Returns the next bytes, or no bytes at the end of the stream.

        Raises:
            TruncatedError: The connection is closed.
        """
        if self.unparsed:
            data, self.unparsed = self.unparsed, b""
            return data
        try:
            return bytes(await self.stream.receive_some(_RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise TruncatedError(
                "connection lost", step="receive", peer=self.peer
            ) from exc

    async def aclose(self) -> None:
        """Closes the connection immediately."""
        await trio.aclose_forcefully(self.stream)


def _find_text(data: bytes) -> int:
    """Returns the position of the first byte that is no CR or LF."""
    return len(data) - len(data.lstrip(b"\r\n"))
