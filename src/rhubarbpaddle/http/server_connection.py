"""The server's side of an HTTP/1.1 connection."""

import h11
import trio

from rhubarbpaddle.execution import Body, Headers
from rhubarbpaddle.http.connection import HttpConnection
from rhubarbpaddle.http.event_body import EventBody, get_length

_SERVER_HEADER = (b"server", b"rhubarbpaddle")


class ServerConnection(HttpConnection):
    """Receives one request after another and sends their answers."""

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        super().__init__(stream, h11.SERVER, peer)

    async def receive_request(self) -> tuple[h11.Request, EventBody] | None:
        """Returns the next request and its body, or None at the end.

        Raises:
            TruncatedError: The connection is gone.
            ProtocolError: The far side does not speak HTTP/1.1.
        """
        event = await self.next_event()
        if not isinstance(event, h11.Request):
            return None
        length = get_length(event.headers)
        if length is None and not _is_chunked(event):
            length = 0
        return event, EventBody(self._next_body_event, length, self.peer)

    async def send_response(
        self, method: bytes, status: int, headers: Headers, body: Body
    ) -> None:
        """Sends an answer; the body is read to its end.

        Raises:
            TruncatedError: The connection is gone, or the body ended early.
        """
        headers = [*headers, _SERVER_HEADER]
        if method == b"HEAD" or status in (204, 304):
            head = h11.Response(status_code=status, headers=headers)
            await self.send(head, h11.EndOfMessage())
            return
        if body.length is not None:
            headers.append((b"content-length", str(body.length).encode()))
        head = h11.Response(status_code=status, headers=headers)
        part = await body.receive()
        if body.length is not None and len(part) == body.length:
            await self.send(head, h11.Data(data=part), h11.EndOfMessage())
            return
        await self.send(head, h11.Data(data=part))
        while part := await body.receive():
            await self.send(h11.Data(data=part))
        await self.send(h11.EndOfMessage())

    def start_next_cycle(self) -> bool:
        """Prepares for the next request; returns False if there is none."""
        if (
            self.h11.our_state is not h11.DONE
            or self.h11.their_state is not h11.DONE
        ):
            return False
        self.h11.start_next_cycle()
        return True

    async def _next_body_event(self) -> object:
        if self.h11.they_are_waiting_for_100_continue:
            await self.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        return await self.next_event()


def _is_chunked(head: h11.Request) -> bool:
    return any(key == b"transfer-encoding" for key, _ in head.headers)
