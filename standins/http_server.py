"""A minimal HTTP/1.1 server for the stand-ins."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
import trio

_RECEIVE_BYTES = 1 << 16


class StandinRequest(NamedTuple):
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class StandinResponse(NamedTuple):
    """A complete response; status 0 closes the connection without one."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[StandinRequest], Awaitable[StandinResponse]]


async def serve_connection(stream: trio.abc.Stream, handler: Handler) -> None:
    """Serves one connection until it ends."""
    conn = h11.Connection(h11.SERVER)
    async with stream:
        try:
            while request := await _receive_request(stream, conn):
                response = await handler(request)
                if response.status == 0:
                    return
                await _send_response(stream, conn, response)
                if conn.our_state is not h11.DONE:
                    return
                conn.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError):
            return


async def _receive_request(
    stream: trio.abc.Stream, conn: h11.Connection
) -> StandinRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            if conn.they_are_waiting_for_100_continue:
                interim_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await stream.send_all(conn.send(interim_response) or b"")
            conn.receive_data(await stream.receive_some(_RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {k.decode(): v.decode() for k, v in head.headers}
            return StandinRequest(
                head.method.decode(), head.target.decode(), headers, bytes(body)
            )
        else:
            return None


async def _send_response(
    stream: trio.abc.Stream, conn: h11.Connection, response: StandinResponse
) -> None:
    headers = [
        *response.headers,
        ("content-length", str(len(response.body))),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    events = (head, h11.Data(data=response.body), h11.EndOfMessage())
    await stream.send_all(b"".join(conn.send(e) or b"" for e in events))
