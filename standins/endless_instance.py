"""A stand-in for an instance whose responses never end."""

from collections.abc import Callable

import h11
import trio

_CHUNK_BYTES = 4096
_CHUNK_INTERVAL_SECONDS = 0.01
_UNRELATED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nrequest-id: another\r\nserver-signature: s\r\n"
    b"content-length: 2\r\n\r\nno"
)
_HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: one\r\nserver-signature: s\r\n"
_ENCODED_CHUNK = b"%x\r\n" % _CHUNK_BYTES + b"b" * _CHUNK_BYTES + b"\r\n"

# The bytes that are sent first, and those that are repeated after them.
FORMS = {
    "header lines": (_HEAD, (b"x-more: " + b"a" * 100 + b"\r\n") * 40),
    "a header line": (_HEAD + b"x-long: ", b"a" * _CHUNK_BYTES),
    "bytes without a line end": (b"", b"\x00" * _CHUNK_BYTES),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "responses to another request": (b"", _UNRELATED_RESPONSE),
    "a body without a length": (_HEAD + b"\r\n", b"b" * _CHUNK_BYTES),
    "a body of chunks": (
        _HEAD + b"transfer-encoding: chunked\r\n\r\n",
        _ENCODED_CHUNK,
    ),
    "a body of one-byte chunks": (
        _HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\nb\r\n" * (_CHUNK_BYTES // 6),
    ),
    "a body of one-byte and two-byte chunks": (
        _HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\nb\r\n2\r\nbb\r\n" * (_CHUNK_BYTES // 13),
    ),
    "a chunk's head": (
        _HEAD + b"transfer-encoding: chunked\r\n\r\n1;",
        b"a" * _CHUNK_BYTES,
    ),
}


class EndlessInstance:
    """Sends bytes until the connection is closed.

    Attributes:
        ended_after: The seconds until the peer closed each connection.
    """

    def __init__(self, form: str, get_health: Callable[[], bytes]) -> None:
        """Creates an instance.

        Args:
            form: The kind of response to send, a key of `FORMS`.
            get_health: Returns the response to a health check.
        """
        self._form = form
        self._get_health = get_health
        self.ended_after: list[float] = []

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it ends."""
        conn = h11.Connection(h11.SERVER)
        try:
            while True:
                target = await _receive_request(stream, conn)
                if target is None:
                    return
                if target != b"/health":
                    break
                await stream.send_all(self._get_health())
                conn = h11.Connection(h11.SERVER)
            await self._send_endlessly(stream)
        except trio.BrokenResourceError:
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _send_endlessly(self, stream: trio.abc.Stream) -> None:
        started = trio.current_time()
        try:
            await send_form(stream, self._form)
        finally:
            self.ended_after.append(trio.current_time() - started)


async def send_form(stream: trio.abc.Stream, form: str) -> None:
    """Sends a form of response until the connection is closed.

    Args:
        stream: The connection.
        form: A key of `FORMS`.
    """
    first, repeated = FORMS[form]
    await stream.send_all(first)
    while True:
        await stream.send_all(repeated)
        await trio.sleep(_CHUNK_INTERVAL_SECONDS)


async def _receive_request(
    stream: trio.abc.Stream, conn: h11.Connection
) -> bytes | None:
    """Returns the target of the next request, or None at the end."""
    target = None
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(bytes(await stream.receive_some(1 << 16)))
        elif isinstance(event, h11.Request):
            target = event.target
        elif isinstance(event, h11.EndOfMessage):
            return target
        elif isinstance(event, h11.ConnectionClosed):
            return None
