"""Sends several requests at once and reads their responses in order."""

from collections.abc import Sequence

import h11
import trio

from rhubarbpaddle.exceptions import ProtocolError, TruncatedError
from rhubarbpaddle.http.client_connection import ClientConnection
from soak.pipelined_response import PipelinedResponse

_STEP = "receive_pipelined"


async def send_pipelined(
    conn: ClientConnection,
    heads: Sequence[h11.Request],
    responses: list[PipelinedResponse],
) -> None:
    """Sends requests without bodies, and reads responses until one ends it.

    Args:
        conn: A new connection. It is used for its bytes only, as each request
            needs a state machine of its own.
        heads: The requests.
        responses: The list to which complete responses are appended.

    Raises:
        TruncatedError: The connection ended before a response was complete.
        ProtocolError: A response is not valid HTTP/1.1.
    """
    machines = [h11.Connection(h11.CLIENT) for _ in heads]
    await conn.send_bytes(
        b"".join(
            (machine.send(event) or b"")
            for machine, head in zip(machines, heads, strict=True)
            for event in (head, h11.EndOfMessage())
        )
    )
    unread = b""
    for machine in machines:
        if unread:
            machine.receive_data(unread)
        responses.append(await _receive(conn, machine))
        if responses[-1].ends_connection:
            return
        unread = machine.trailing_data[0]


async def _receive(
    conn: ClientConnection, machine: h11.Connection
) -> PipelinedResponse:
    head: h11.Response | None = None
    parts: list[bytes] = []
    while True:
        try:
            event = machine.next_event()
        except h11.RemoteProtocolError as exc:
            raise ProtocolError(str(exc), step=_STEP, peer=conn.peer) from exc
        match event:
            case h11.Response():
                head = event
            case h11.Data():
                parts.append(bytes(event.data))
            case h11.EndOfMessage() if head is not None:
                headers = dict(head.headers)
                return PipelinedResponse(
                    head.status_code,
                    b"".join(parts),
                    b"server-signature" in headers,
                    headers.get(b"connection", b"").lower() == b"close",
                    trio.current_time(),
                )
            case h11.ConnectionClosed():
                raise TruncatedError(
                    "the connection ended", step=_STEP, peer=conn.peer
                )
            case _ if event is h11.NEED_DATA:
                machine.receive_data(await conn.receive_bytes())
