"""An upstream whose behaviour is chosen by the target of each request."""

from urllib.parse import urlsplit

import h11
import trio

_CHUNK = b"x" * 16_384
_PROBE_TARGETS = (b"/health", b"/load")


class ScriptedUpstream:
    """Serves connections and records the received requests.

    The first segment of a path names an action: `slow`, `truncate`,
    `stream`, `reject`, `refuse` or `extra`. Other requests get a response at
    once.

    Attributes:
        heads: The heads of all requests, except those of probes.
        bodies: The complete request bodies, by path.
        disconnected_paths: The paths of requests whose connection ended before
            the response was sent.
        sent_bytes: The number of body bytes sent for `/stream` requests.
        open_connections: The number of connections that are open.
        max_open_connections: The largest number of connections that were open
            at the same time.
    """

    def __init__(self) -> None:
        self.heads: list[h11.Request] = []
        self.bodies: dict[str, bytes] = {}
        self.disconnected_paths: list[str] = []
        self.sent_bytes = 0
        self.open_connections = 0
        self.max_open_connections = 0

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it ends."""
        self.open_connections += 1
        self.max_open_connections = max(
            self.max_open_connections, self.open_connections
        )
        conn = h11.Connection(h11.SERVER)
        try:
            while isinstance(
                head := await _receive_event(stream, conn), h11.Request
            ):
                if head.target in _PROBE_TARGETS:
                    await _receive_event(stream, conn)
                    await _send_response(stream, conn, 200, b"{}")
                    conn.start_next_cycle()
                    continue
                self.heads.append(head)
                await self._respond(stream, conn, head)
                conn.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError):
            pass
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)

    async def _respond(
        self, stream: trio.abc.Stream, conn: h11.Connection, head: h11.Request
    ) -> None:
        url = urlsplit(head.target.decode())
        action, _, argument = url.path[1:].partition("/")
        if action == "reject":
            await _send_response(stream, conn, 413, b"too long\n")
            raise trio.BrokenResourceError
        body = bytearray()
        while isinstance(event := await _receive_event(stream, conn), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            self.disconnected_paths.append(url.path)
            raise trio.BrokenResourceError
        self.bodies[url.path] = bytes(body)
        match action:
            case "slow":
                await self._delay_response(stream, url.path, float(argument))
            case "truncate":
                start = b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n"
                await stream.send_all(start + _CHUNK)
                raise trio.BrokenResourceError
            case "stream":
                await self._stream(stream, conn, int(argument))
                return
            case "refuse":
                outcome = ("rhubarbpaddle-outcome", "not-run")
                await _send_response(stream, conn, 503, b"", outcome)
                return
            case "extra":
                await _send_response(stream, conn, 200, b"first")
                await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
                return
        await _send_response(
            stream, conn, 200, bytes(body) or url.path.encode()
        )

    async def _delay_response(
        self, stream: trio.abc.Stream, path: str, seconds: float
    ) -> None:
        with trio.move_on_after(seconds):
            await stream.receive_some()
            self.disconnected_paths.append(path)
            raise trio.BrokenResourceError

    async def _stream(
        self, stream: trio.abc.Stream, conn: h11.Connection, length: int
    ) -> None:
        response = h11.Response(status_code=200, headers=[])
        await stream.send_all(conn.send(response) or b"")
        while length > 0:
            chunk = _CHUNK[:length]
            await stream.send_all(conn.send(h11.Data(data=chunk)) or b"")
            self.sent_bytes += len(chunk)
            length -= len(chunk)
        await stream.send_all(conn.send(h11.EndOfMessage()) or b"")


async def _receive_event(
    stream: trio.abc.Stream, conn: h11.Connection
) -> object:
    while (event := conn.next_event()) is h11.NEED_DATA:
        conn.receive_data(bytes(await stream.receive_some()))
    return event


async def _send_response(
    stream: trio.abc.Stream,
    conn: h11.Connection,
    status: int,
    body: bytes,
    *headers: tuple[str, str],
) -> None:
    length = ("content-length", str(len(body)))
    head = h11.Response(status_code=status, headers=[*headers, length])
    events = (head, h11.Data(data=body), h11.EndOfMessage())
    await stream.send_all(b"".join(conn.send(e) or b"" for e in events))
