"""Client side of an HTTP/1.1 connection."""

import h11
import trio

from rhubarbpaddle.exceptions import ProtocolError, TruncatedError
from rhubarbpaddle.execution import Body, BytesBody
from rhubarbpaddle.http.connection import HttpConnection
from rhubarbpaddle.http.h11_body import H11Body, get_length

_BODY_IDLE_SECONDS = 30.0
# Limits interim responses before the final one, since a faulty server may
# send them endlessly.
_MAX_INTERIM_RESPONSES = 16


class ClientConnection(HttpConnection):
    """Sends requests one after another and reads their responses."""

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        super().__init__(stream, h11.CLIENT, peer)

    async def send_request(self, head: h11.Request, body: Body) -> None:
        """Sends a request with its body.

        Raises:
            TruncatedError: The connection is closed, or the body ended early.
        """
        if isinstance(body, BytesBody):
            if body.content:
                data = h11.Data(data=body.content)
                await self.send(head, data, h11.EndOfMessage())
            else:
                await self.send(head, h11.EndOfMessage())
            return
        await self.send(head)
        chunk = b"-"
        while chunk:
            chunk = await body.receive()
            await self.send_chunk(chunk)

    async def send_chunk(self, chunk: bytes) -> None:
        """Sends a chunk of the body, or ends the body if it is empty.

        Raises:
            TruncatedError: The connection is closed.
            ProtocolError: The body is longer or shorter than announced.
        """
        await self.send(h11.Data(data=chunk) if chunk else h11.EndOfMessage())

    async def receive_response(self) -> tuple[h11.Response, H11Body]:
        """Returns the next final response and its body.

        Raises:
            TruncatedError: The connection ended before a response.
            ProtocolError: The response is not valid HTTP/1.1, or too many
                interim responses preceded it.
        """
        interim = 0
        while interim <= _MAX_INTERIM_RESPONSES:
            event = self.parse_event()
            if event is h11.NEED_DATA:
                self.parse_head_bytes(await self.receive_bytes())
                continue
            if isinstance(event, h11.InformationalResponse):
                interim += 1
                continue
            if isinstance(event, h11.Response):
                self._check_length(event)
                self.start_body(event.headers)
                length = get_length(event.headers)
                return event, H11Body(self._next_body_event, length, self.peer)
            raise TruncatedError(
                "the connection ended before a response",
                step="receive_response",
                peer=self.peer,
            )
        raise ProtocolError(
            f"more than {_MAX_INTERIM_RESPONSES} interim responses",
            step="receive_response",
            peer=self.peer,
        )

    async def _next_body_event(self) -> object:
        return await self.next_event(_BODY_IDLE_SECONDS)

    def _check_length(self, response: h11.Response) -> None:
        names = {name for name, _ in response.headers}
        if {b"content-length", b"transfer-encoding"} <= names:
            raise ProtocolError(
                "the response has both Content-Length and Transfer-Encoding",
                step="receive_response",
                peer=self.peer,
            )

    def is_reusable(self) -> bool:
        """Returns whether another request can be sent.

        Both messages must be complete, and no bytes may follow the response.
        """
        return (
            self.h11.our_state is h11.DONE
            and self.h11.their_state is h11.DONE
            and not self.h11.trailing_data[0]
            and not self.unparsed
        )
