"""A stand-in for an application instance of the platform."""

from collections.abc import Callable

import h11
import trio

from standins.endless_instance import send_form
from standins.large_response import LargeResponse

_RECEIVE_BYTES = 1 << 16
_ENDLESS_CHUNKS = 1000
_PART_BYTES = 16 * 1024
_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"not-executed: 1\r\ncontent-length: 0\r\n\r\n"
)


class PlatformInstance:
    """Runs requests and reports its load, as the platform's instances do.

    Attributes:
        instance: The id of the instance.
        slots: The number of concurrent requests that it reports as its limit.
        slowdown_percent: The slowdown factor in percent; 100 means not slowed
            down.
        cold_ms: For how long it reports that it remains cold.
        work_seconds: How long a request takes without a slowdown.
        work_seconds_by_id: The same for single requests, by id.
        runs: The ids of the requests that it ran, in order.
        heads: The headers of the requests that it ran, in order.
        healthy: Whether its health check succeeds.
        checks: The number of health checks that it responded to.
        repeated_request_id: The id of a request whose response is sent a second
            time just before the next response on the connection.
        refused_ids: The ids of requests that it refuses as not run.
        repeats_refusals: Whether it sends each refusal a second time, just
            before the next response on the connection.
        extra_refusal_id: The id of a request before whose response a refusal
            is sent that belongs to no request on the connection.
        names_repeated: Whether a refusal that is sent a second time carries
            the id of its request.
        disconnect_target: The connection of a request for this target is closed
            after the request has run, without a response.
        truncated_length: How many bytes of each response it sends before it
            closes the connection; None if it sends all. Negative numbers
            count from the end.
        garbage: Bytes that it sends in place of each response to a request.
        garbles_checks: Whether it sends them in place of responses to health
            checks too.
        load_figures: The number of figures of the load that it reports, 3 or 4,
            or 0 for none.
        endless_chunk: A chunk that it sends without end in place of the body of
            each response to a request, or no bytes.
        endless_forms: The keys of `endless_instance.FORMS` that it sends in
            place of the responses to requests, by request id.
        get_status: Returns the status of the response to a request for a
            target.
        refuses_all: Whether it refuses all requests as not run.
        arrivals: The ids of the requests that arrived, in order, including
            those that it refused.
        runs_at: The times at which these began, in seconds of trio's clock.
        bodies: The bodies of the requests that it ran, in order.
        body_parts: The number of parts in which the body of each request
            arrived, in order.
        response_length: The length of its last response to a request.
        large_response: What it responds to requests in place of their id, if
            not None.
        find_large_response: Returns the large response to a request by its
            target and id, or None if `large_response` applies.
        sent_bytes: The number of bytes that it sent of these bodies.
        broken_at: When sending such a body failed because the connection was
            closed, in seconds of trio's clock; None if none failed.
    """

    def __init__(
        self,
        instance: str,
        slots: int = 6,
        on_run: Callable[[str], None] | None = None,
    ) -> None:
        """Creates an idle instance.

        Args:
            instance: The id of the instance.
            slots: The number of concurrent requests that it reports as its
                limit.
            on_run: Called with the id of each request that it starts to run.
        """
        self._on_run = on_run
        self.instance = instance
        self.slots = slots
        self.slowdown_percent = 100
        self.cold_ms = 0
        self.work_seconds = 0.05
        self.work_seconds_by_id: dict[str, float] = {}
        self.runs: list[str] = []
        self.heads: list[dict[str, str]] = []
        self.checks = 0
        self.healthy = True
        self.repeated_request_id = ""
        self.refused_ids: frozenset[str] = frozenset()
        self.repeats_refusals = False
        self.extra_refusal_id = ""
        self.names_repeated = True
        self.disconnect_target = ""
        self.truncated_length: int | None = None
        self.response_length = 0
        self.garbage = b""
        self.garbles_checks = False
        self.endless_chunk = b""
        self.endless_forms: dict[str, str] = {}
        self.load_figures = 4
        self.get_status: Callable[[str], int] = lambda target: 200
        self.refuses_all = False
        self.arrivals: list[str] = []
        self.runs_at: list[float] = []
        self.bodies: list[bytes] = []
        self.body_parts: list[int] = []
        self.large_response: LargeResponse | None = None
        self.find_large_response: Callable[[str, str], LargeResponse | None] = (
            lambda target, request_id: None
        )
        self.sent_bytes = 0
        self.broken_at: float | None = None
        self._running = 0

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it ends."""
        conn = h11.Connection(h11.SERVER)
        repeated = b""
        try:
            while True:
                head = await _receive_event(stream, conn)
                if not isinstance(head, h11.Request):
                    return
                parts: list[bytes] = []
                while isinstance(
                    event := await _receive_event(stream, conn), h11.Data
                ):
                    parts.append(bytes(event.data))
                body = b"".join(parts)
                self.body_parts.append(len(parts))
                response = await self._respond(conn, head, body)
                request_id = _decode_headers(head).get("request-id", "")
                if request_id and request_id == self.extra_refusal_id:
                    repeated = _REFUSAL
                if request_id in self.endless_forms:
                    await send_form(stream, self.endless_forms[request_id])
                if self.endless_chunk and request_id:
                    await self._send_endlessly(stream, request_id)
                    return
                large = self.large_response or self.find_large_response(
                    head.target.decode(), request_id
                )
                # Refusals and failures are short.
                is_ok = response.startswith(b"HTTP/1.1 200")
                if large is not None and request_id and is_ok:
                    await self._send_large(stream, request_id, large)
                    conn.start_next_cycle()
                    continue
                if self.garbage and (request_id or self.garbles_checks):
                    await stream.send_all(self.garbage)
                    return
                if self.truncated_length is not None and request_id:
                    self.response_length = len(response)
                    await stream.send_all(response[: self.truncated_length])
                    return
                await stream.send_all(repeated + response)
                is_repeated = request_id and (
                    request_id == self.repeated_request_id
                    or (
                        self.repeats_refusals and request_id in self.refused_ids
                    )
                )
                repeated = response if is_repeated else b""
                if repeated and not self.names_repeated:
                    repeated = _REFUSAL
                conn.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _send_large(
        self, stream: trio.abc.Stream, request_id: str, large: LargeResponse
    ) -> None:
        framing = (
            b"transfer-encoding: chunked"
            if large.chunked
            else b"content-length: %d" % large.length
        )
        head = (
            b"HTTP/1.1 200 OK\r\nserver-signature: s\r\nrequest-id: %b\r\n"
            b"%b\r\n\r\n" % (request_id.encode(), framing)
        )
        body = large.make_body()[: large.fails_after]
        try:
            await stream.send_all(head)
            for start in range(0, len(body), _PART_BYTES):
                part = body[start : start + _PART_BYTES]
                content = (
                    b"%x\r\n%b\r\n" % (len(part), part)
                    if large.chunked
                    else part
                )
                await stream.send_all(content)
                self.sent_bytes += len(part)
                await trio.sleep(large.pause_seconds)
            if large.fails_after is not None:
                raise trio.BrokenResourceError
            if large.chunked:
                await stream.send_all(b"0\r\n\r\n")
        except trio.BrokenResourceError:
            self.broken_at = trio.current_time()
            raise

    async def _send_endlessly(
        self, stream: trio.abc.Stream, request_id: str
    ) -> None:
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nserver-signature: s\r\nrequest-id: %b\r\n"
            b"transfer-encoding: chunked\r\n\r\n" % request_id.encode()
        )
        while self.endless_chunk:
            await stream.send_all(self.endless_chunk * _ENDLESS_CHUNKS)

    async def _respond(
        self, conn: h11.Connection, head: h11.Request, body: bytes
    ) -> bytes:
        headers = _decode_headers(head)
        figures = (self._running, 0, self.slots, self.slowdown_percent)
        load = ",".join(map(str, figures[: self.load_figures]))
        load_headers = [("server-load", load)] if load else []
        if head.target == b"/health":
            self.checks += 1
            cold = ("cold-ms", str(self.cold_ms))
            instance = ("instance-id", self.instance)
            status = 200 if self.healthy else 503
            return _encode_response(
                conn, status, [*load_headers, cold, instance], b""
            )
        if headers.get("expected-instance") != self.instance:
            instance = ("instance-id", self.instance)
            return _encode_response(conn, 421, [instance], b"")
        request_id = headers["request-id"]
        self.arrivals.append(request_id)
        if self.refuses_all or request_id in self.refused_ids:
            refusal = [("not-executed", "1"), ("request-id", request_id)]
            return _encode_response(conn, 503, refusal, b"")
        self.runs.append(request_id)
        self.runs_at.append(trio.current_time())
        self.bodies.append(body)
        self.heads.append(headers)
        if self._on_run is not None:
            self._on_run(request_id)
        self._running += 1
        try:
            work_seconds = self.work_seconds_by_id.get(
                request_id, self.work_seconds
            )
            await trio.sleep(work_seconds * self.slowdown_percent / 100)
        finally:
            self._running -= 1
        if (
            self.disconnect_target
            and head.target.decode() == self.disconnect_target
        ):
            raise trio.BrokenResourceError
        signature = [("request-id", request_id), ("server-signature", "s")]
        return _encode_response(
            conn,
            self.get_status(head.target.decode()),
            [*load_headers, *signature],
            request_id.encode(),
        )


async def _receive_event(
    stream: trio.abc.Stream, conn: h11.Connection
) -> object:
    while (event := conn.next_event()) is h11.NEED_DATA:
        conn.receive_data(bytes(await stream.receive_some(_RECEIVE_BYTES)))
    return event


def _decode_headers(head: h11.Request) -> dict[str, str]:
    return {key.decode(): value.decode() for key, value in head.headers}


def _encode_response(
    conn: h11.Connection,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> bytes:
    length = ("content-length", str(len(body)))
    head = h11.Response(status_code=status, headers=[*headers, length])
    events = (head, h11.Data(data=body), h11.EndOfMessage())
    return b"".join(conn.send(event) or b"" for event in events)
