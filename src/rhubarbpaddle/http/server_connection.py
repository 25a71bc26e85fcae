"""Server side of an HTTP/1.1 connection."""

import math
from typing import Self

import h11
import trio

from rhubarbpaddle.exceptions import (
    PeerSilentError,
    RefusedError,
    RhubarbpaddleError,
)
from rhubarbpaddle.execution import Body, Headers
from rhubarbpaddle.execution.failed_body_refusal import (
    make_failed_body_refusal,
)
from rhubarbpaddle.http.connection import HttpConnection
from rhubarbpaddle.http.h11_body import H11Body, get_length
from rhubarbpaddle.http.limits import DEFAULT_LIMITS, CallerLimits
from rhubarbpaddle.http.protocol_error_text import describe_protocol_error
from rhubarbpaddle.http.strict_head import (
    HEAD_END,
    check_head,
    check_partial_head,
    check_raw_head,
    make_bad_request,
)
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.remote_state import RemoteState

_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# One interim response per second at the check interval of `StreamWatch`.
_CHECKS_PER_INTERIM = 10


class ServerConnection(HttpConnection):
    """Receives requests one after another and sends their responses.

    Attributes:
        scope: Encloses all use of the connection. Its deadline limits the wait
            for a head, and cancelling it closes the connection.
        receiving_head: Whether part of a head has arrived.
        head_bytes: The size of the last head without the empty line.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        peer: str,
        limits: CallerLimits = DEFAULT_LIMITS,
    ) -> None:
        super().__init__(stream, h11.SERVER, peer)
        self.scope = trio.CancelScope()
        self._limits = limits
        self.receiving_head = False
        self.head_bytes = 0
        self._response_started = False
        self._accepts_interim = False
        self._chunked = False
        self._half_closed_checks = 0

    def raise_if_head_timed_out(self) -> None:
        """Fails if the scope was cancelled while a head was incomplete.

        Raises:
            RefusedError: The head did not arrive in time.
        """
        if self.receiving_head and self.scope.cancelled_caught:
            raise make_bad_request("the head did not arrive in time", 408)

    async def receive_request(self) -> tuple[h11.Request, H11Body] | None:
        """Returns the next request and its body, or None at the end.

        Raises:
            TruncatedError: The connection is closed.
            RefusedError: The head is malformed or too long.
        """
        if not await self._receive_head():
            return None
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise make_bad_request(
                describe_protocol_error(exc), exc.error_status_hint
            ) from exc
        if not isinstance(event, h11.Request):
            return None
        check_head(event)
        return event, self.start_request(event)

    def start_request(self, head: h11.Request) -> H11Body:
        """Prepares to answer the request whose head was parsed.

        Returns:
            The request's body.
        """
        self.start_body(head.headers)
        self._accepts_interim = head.http_version != b"1.0"
        self._chunked = _is_chunked(head)
        length = get_length(head.headers)
        if length is None and not self._chunked:
            length = 0
        return H11Body(self._next_body_event, length, self.peer)

    def make_reader(self, unparsed: bytes) -> Self:
        """Returns an object that reads the next request of the same stream.

        Args:
            unparsed: The bytes that were received behind the last request.
        """
        reader = type(self)(self.stream, self.peer, self._limits)
        reader.unparsed = unparsed
        return reader

    def continue_with(self, state: h11.Connection) -> None:
        """Continues with a request that a reader has received.

        Args:
            state: The state machine of the reader.
        """
        self.h11 = state
        self._response_started = False
        self._half_closed_checks = 0

    def parse_event(self) -> object:
        """Parses buffered bytes; returns an event or `h11.NEED_DATA`.

        h11 also accepts bare line feeds after the last chunk. They are
        rejected here, as in a head, to prevent request smuggling.

        Raises:
            ProtocolError: The received bytes are not valid HTTP/1.1.
            RefusedError: The lines after the last chunk are ambiguous.
        """
        if not self._chunked:
            return super().parse_event()
        received, _ = self.h11.trailing_data
        event = super().parse_event()
        if isinstance(event, h11.EndOfMessage):
            remaining, _ = self.h11.trailing_data
            check_raw_head(received[: len(received) - len(remaining)])
        return event

    async def send_response(
        self, method: bytes, status: int, headers: Headers, body: Body
    ) -> None:
        """Sends a response and its whole body.

        The body is not read if the response can't have one.

        Raises:
            TruncatedError: The connection is closed, or the body ended early.
            PeerSilentError: The caller does not read a streamed body.
            RefusedError: The body failed before anything was sent.
        """
        if method == b"HEAD" or status in (204, 304):
            self._response_started = True
            head = h11.Response(status_code=status, headers=headers)
            await self.send(head, h11.EndOfMessage())
            return
        if body.length is None:
            self._response_started = True
            await self._send_part(
                h11.Response(status_code=status, headers=headers)
            )
            await self._send_remaining_chunks(body)
            return
        chunk = await _receive_first_chunk(body)
        self._response_started = True
        headers = [*headers, (b"content-length", b"%d" % body.length)]
        head = h11.Response(status_code=status, headers=headers)
        if len(chunk) == body.length:
            await self.send(head, h11.Data(data=chunk), h11.EndOfMessage())
            return
        await self._send_part(head, h11.Data(data=chunk))
        await self._send_remaining_chunks(body)

    def start_next_cycle(self) -> bool:
        """Prepares for the next request on this connection.

        Returns:
            False if the connection can't be reused.
        """
        if (
            self.h11.our_state is not h11.DONE
            or self.h11.their_state is not h11.DONE
        ):
            return False
        received, _ = self.h11.trailing_data
        if received:
            # The next requests, which a chunked body may follow.
            self.h11 = h11.Connection(h11.SERVER)
            self.unparsed = received + self.unparsed
        else:
            self.h11.start_next_cycle()
        self._response_started = False
        self._half_closed_checks = 0
        return True

    def can_respond(self) -> bool:
        """Returns whether a response can still be sent."""
        return not self._response_started and self.h11.our_state in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        )

    def has_disconnected(self, state: RemoteState) -> bool:
        """Returns whether the caller no longer waits for a response."""
        return state is RemoteState.CLOSED or (
            state is RemoteState.HALF_CLOSED
            and not self._limits.keeps_half_closed
        )

    def get_keep_alive(self, state: RemoteState) -> bytes:
        """Returns an interim response that probes a half-closed connection.

        A caller that closed only its sending side can't be distinguished from
        one that has disconnected until bytes are sent: the latter then resets
        the connection. The former ignores an interim response.

        Returns:
            The response once per second, otherwise no bytes.
        """
        if (
            state is RemoteState.OPEN
            or self._response_started
            or self.sending
            or not self._accepts_interim
        ):
            return b""
        self._half_closed_checks += 1
        return (
            _CONTINUE_RESPONSE
            if self._half_closed_checks % _CHECKS_PER_INTERIM == 1
            else b""
        )

    async def discard_input(self) -> None:
        """Discards unread input before the connection is closed.

        A close with unread input resets the connection, which can destroy a
        response that the caller has not read yet (RFC 9112, section 9.6).
        """
        discarded = 0
        with trio.move_on_after(self._limits.discard_seconds):
            try:
                if isinstance(self.stream, trio.abc.HalfCloseableStream):
                    await self.stream.send_eof()
                while discarded < self._limits.discard_bytes:
                    data = await self.receive_bytes()
                    if not data:
                        return
                    discarded += len(data)
            except (RhubarbpaddleError, trio.BrokenResourceError):
                return

    async def _receive_head(self) -> bool:
        """Waits until a complete head is buffered and checks its bytes.

        Returns:
            False if the connection ended between requests.

        Raises:
            TruncatedError: The connection is closed.
            RefusedError: The head is malformed, too long or incomplete.
        """
        limits = self._limits
        received = b""
        end = -1
        self.receiving_head = bool(self.unparsed)
        timeout_seconds = (
            limits.head_seconds if self.unparsed else limits.idle_seconds
        )
        self.scope.deadline = trio.current_time() + timeout_seconds
        while end < 0:
            data = await self.receive_bytes()
            received += data
            end = received.find(HEAD_END)
            if end < 0:
                self.h11.receive_data(data)
                if not data:
                    break
                self._check_partial(received)
                if not self.receiving_head:
                    self.receiving_head = True
                    self.scope.deadline = (
                        trio.current_time() + limits.head_seconds
                    )
            else:
                self.parse_head_bytes(data)
        self.scope.deadline = math.inf
        self.receiving_head = False
        if end < 0:
            if not received:
                return False
            raise make_bad_request("the connection ended within the head")
        self.head_bytes = end
        if end > limits.head_bytes:
            raise make_bad_request("the head is too long", 431)
        check_raw_head(received[: end + len(HEAD_END)])
        return True

    def _check_partial(self, received: bytes) -> None:
        check_partial_head(received)
        if len(received) > self._limits.head_bytes:
            raise make_bad_request("the head is too long", 431)

    async def _send_remaining_chunks(self, body: Body) -> None:
        while chunk := await body.receive():
            await self._send_part(h11.Data(data=chunk))
        await self._send_part(h11.EndOfMessage())

    async def _send_part(self, *events: h11.Event) -> None:
        """Sends a part of a response whose body is streamed.

        Raises:
            TruncatedError: The connection is closed.
            PeerSilentError: The caller does not read the response.
        """
        with trio.move_on_after(self._limits.send_seconds):
            await self.send(*events)
            return
        raise PeerSilentError(
            "the caller does not read its response",
            step="send_response",
            peer=self.peer,
        )

    async def _next_body_event(self) -> object:
        if self.h11.they_are_waiting_for_100_continue:
            await self.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        try:
            event = await self.next_event(self._limits.body_idle_seconds)
        except PeerSilentError as exc:
            raise _make_body_refusal(exc.detail, 408) from exc
        except RhubarbpaddleError as exc:
            raise _make_body_refusal(exc.detail, 400) from exc
        if isinstance(event, h11.Data | h11.EndOfMessage):
            return event
        raise _make_body_refusal("the body ended early", 400)


async def _receive_first_chunk(body: Body) -> bytes:
    try:
        return await body.receive()
    except RefusedError:
        raise
    except RhubarbpaddleError as exc:
        raise make_failed_body_refusal(exc) from exc


def _make_body_refusal(detail: str, status: int) -> RefusedError:
    return RefusedError(
        "bad_request_body",
        detail,
        step="receive_body",
        status=status,
        outcome=Outcome.UNKNOWN,
    )


def _is_chunked(head: h11.Request) -> bool:
    return any(key == b"transfer-encoding" for key, _ in head.headers)
