"""Sends a body in parts while the answer may already arrive."""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError, TruncatedError
from rhubarbpaddle.execution.body import Body

AnswerT = TypeVar("AnswerT")

_STEP = "send_body"
# How long an answer may arrive after the far side stopped taking the body.
_ANSWER_SECONDS = 1.0
# An answer that arrives just before this side has seen the body's end must
# not end the upload.
_REJECTION_SECONDS = 0.1


class Upload(Generic[AnswerT]):
    """One streamed body and the answer to it.

    Attributes:
        complete: Whether the whole body was sent.
    """

    def __init__(
        self,
        body: Body,
        send_part: Callable[[bytes], Awaitable[None]],
        receive: Callable[[], Awaitable[AnswerT]],
        is_rejection: Callable[[AnswerT], bool],
    ) -> None:
        """Prepares an upload.

        Args:
            body: The body to send.
            send_part: Sends a part; no bytes mean the body's end.
            receive: Waits for the answer.
            is_rejection: Returns whether an answer makes the rest of the body
                useless.
        """
        self.complete = False
        self._body = body
        self._send_part = send_part
        self._receive = receive
        self._is_rejection = is_rejection
        self._body_failure: RhubarbpaddleError | None = None
        self._answer: AnswerT | None = None
        self._failure: RhubarbpaddleError | None = None

    async def run(self, answer_seconds: float) -> AnswerT:
        """Sends the body and returns the answer.

        Args:
            answer_seconds: How long the answer may take after the body's end.

        Raises:
            RhubarbpaddleError: The body or the connection failed.
            trio.TooSlowError: There was no answer in time.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_answer, nursery.cancel_scope)
            taken = await self._send_body()
            wait = answer_seconds if taken else _ANSWER_SECONDS
            nursery.cancel_scope.deadline = trio.current_time() + wait
            if self._body_failure is not None:
                nursery.cancel_scope.cancel()
        if self._body_failure is not None:
            raise self._body_failure
        if self._answer is not None:
            return self._answer
        if self._failure is not None:
            raise self._failure
        if taken:
            raise trio.TooSlowError
        raise TruncatedError(
            "the far side took no more of the body", step=_STEP
        )

    async def _receive_answer(self, scope: trio.CancelScope) -> None:
        try:
            answer = await self._receive()
        except RhubarbpaddleError as exc:
            self._failure = exc
            scope.cancel()
            return
        self._answer = answer
        if self._is_rejection(answer):
            scope.deadline = trio.current_time() + _REJECTION_SECONDS

    async def _send_body(self) -> bool:
        """Returns whether the far side took the whole body."""
        while True:
            try:
                part = await self._body.receive()
            except RhubarbpaddleError as exc:
                self._body_failure = exc
                return False
            try:
                await self._send_part(part)
            except TruncatedError:
                return False
            except RhubarbpaddleError as exc:
                # The parts do not match the announced length.
                self._body_failure = exc
                return False
            if not part:
                self.complete = True
                return True
