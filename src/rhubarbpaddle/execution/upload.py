"""Sends a streamed body while its response may already arrive."""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError, TruncatedError
from rhubarbpaddle.execution.body import Body

ResponseT = TypeVar("ResponseT")

_SEND_STEP = "send_body"
# How long to wait for a response after the peer stopped accepting the body.
_LATE_RESPONSE_SECONDS = 1.0
# A rejection that arrives just before the end of the body must not abort the
# upload.
_REJECTION_GRACE_SECONDS = 0.1


class Upload(Generic[ResponseT]):
    """Sends one streamed body and receives the response to it.

    Attributes:
        complete: Whether the body was sent to its end.
    """

    def __init__(
        self,
        body: Body,
        send_part: Callable[[bytes], Awaitable[None]],
        receive: Callable[[], Awaitable[ResponseT]],
        is_rejection: Callable[[ResponseT], bool],
    ) -> None:
        """Creates an upload that `run` carries out.

        Args:
            body: The body to send.
            send_part: Sends a part; empty bytes mark the body's end.
            receive: Waits for the response.
            is_rejection: Returns whether a response makes it useless to send
                the rest of the body.
        """
        self.complete = False
        self._body = body
        self._send_part = send_part
        self._receive = receive
        self._is_rejection = is_rejection
        self._body_error: RhubarbpaddleError | None = None
        self._response: ResponseT | None = None
        self._receive_error: RhubarbpaddleError | None = None

    async def run(self, response_seconds: float) -> ResponseT:
        """Sends the body and returns the response.

        Args:
            response_seconds: The timeout for the response, which starts at the
                body's end.

        Raises:
            RhubarbpaddleError: The body or the connection failed.
            trio.TooSlowError: There was no response in time.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_response, nursery.cancel_scope)
            accepted = await self._send_body()
            wait = response_seconds if accepted else _LATE_RESPONSE_SECONDS
            nursery.cancel_scope.deadline = trio.current_time() + wait
            if self._body_error is not None:
                nursery.cancel_scope.cancel()
        if self._body_error is not None:
            raise self._body_error
        if self._response is not None:
            return self._response
        if self._receive_error is not None:
            raise self._receive_error
        if accepted:
            raise trio.TooSlowError
        raise TruncatedError(
            "the peer stopped accepting the body", step=_SEND_STEP
        )

    async def _receive_response(self, scope: trio.CancelScope) -> None:
        try:
            response = await self._receive()
        except RhubarbpaddleError as exc:
            self._receive_error = exc
            scope.cancel()
            return
        self._response = response
        if self._is_rejection(response):
            scope.deadline = trio.current_time() + _REJECTION_GRACE_SECONDS

    async def _send_body(self) -> bool:
        """Sends the body and returns whether the peer accepted all of it."""
        while True:
            try:
                part = await self._body.receive()
            except RhubarbpaddleError as exc:
                self._body_error = exc
                return False
            try:
                await self._send_part(part)
            except TruncatedError:
                return False
            except RhubarbpaddleError as exc:
                # The body is longer or shorter than its declared length.
                self._body_error = exc
                return False
            if not part:
                self.complete = True
                return True
