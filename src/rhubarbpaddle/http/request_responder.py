"""HTTP/1.1 server for short requests, such as the admin interface."""

from collections.abc import Awaitable, Callable

import h11
import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.h11_body import H11Body
from rhubarbpaddle.http.idle_connections import IdleConnections
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.telemetry import get_logger

_MAX_BODY_BYTES = 64 * 1024
# An idle connection takes 15 KiB. Instances, operators and scrapers of one node
# need a few.
_MAX_IDLE_CONNECTIONS = 64
# The estimated processor time of a request, and of each byte of its response.
# Rendering 4 KB of metrics takes 0.25 ms.
_REQUEST_SECONDS = 0.4e-3
_SECONDS_PER_BYTE = 0.06e-6

# Status, media type and body.
ShortResponse = tuple[int, bytes, bytes]
RespondFunction = Callable[[h11.Request, bytes], Awaitable[ShortResponse]]

_log = get_logger("admin")


class RequestResponder:
    """Serves connections whose requests and responses fit in memory.

    Each connection is served by its own task.
    """

    def __init__(self, respond: RespondFunction) -> None:
        """Creates a responder.

        Args:
            respond: Returns the response to a request's head and body.
        """
        self._respond = respond
        # Many connections may send requests at the same time.
        self._turn = trio.Lock()
        self._idle = IdleConnections(_MAX_IDLE_CONNECTIONS)

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it closes."""
        conn = ServerConnection(stream, "admin")
        try:
            with conn.scope:
                while True:
                    self._idle.add(conn)
                    received = await conn.receive_request()
                    self._idle.remove(conn)
                    if received is None:
                        break
                    head, body = received
                    content = await _read_body(body)
                    # At most one request begins in an iteration of the event
                    # loop.
                    async with self._turn:
                        await trio.lowlevel.checkpoint()
                    status, media_type, response_body = await self._respond(
                        head, content
                    )
                    await conn.send_response(
                        head.method,
                        status,
                        [(b"content-type", media_type)],
                        BytesBody(response_body),
                    )
                    if not conn.start_next_cycle():
                        break
                    await conn.share.pass_checkpoint(
                        _REQUEST_SECONDS
                        + _SECONDS_PER_BYTE * len(response_body)
                    )
        except RhubarbpaddleError as exc:
            _log.debug("admin_connection_ended", error=exc)
        except Exception as exc:
            # A fault in the handling of one request must not end the node.
            _log.error("admin_connection_failed", reason=repr(exc))
        finally:
            self._idle.remove(conn)
            await conn.aclose()


async def _read_body(body: H11Body) -> bytes:
    content = bytearray()
    while chunk := await body.receive():
        content += chunk
        if len(content) > _MAX_BODY_BYTES:
            break
    return bytes(content)
