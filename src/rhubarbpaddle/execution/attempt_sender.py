"""Sends a request to one instance."""

from contextlib import AsyncExitStack

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.body_memory import BodyMemory
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.deadline_refusal import make_deadline_refusal
from rhubarbpaddle.execution.dispatcher import Dispatcher
from rhubarbpaddle.execution.failed_body_refusal import (
    make_failed_body_refusal,
)
from rhubarbpaddle.execution.held_body import HeldBody
from rhubarbpaddle.execution.kept_body import KeptBody
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_router import InstanceRouter

# The node beside the instance responds at the deadline. The gateway waits this
# much longer for that response to arrive.
_DEADLINE_GRACE_SECONDS = 0.03
# How much of a large response is read before its first byte is passed on, so
# that the request can still be sent to another instance. Callers are on the
# gateway's host, so this delays the end of a response by less than 1 ms.
_HELD_RESPONSE_BYTES = 64 * 1024


class AttemptSender:
    """Makes one attempt within the deadline and reports it to the router."""

    def __init__(
        self, router: InstanceRouter, dispatcher: Dispatcher, clock: Clock
    ) -> None:
        self._router = router
        self._dispatcher = dispatcher
        self._clock = clock
        self._response_memory = BodyMemory()

    async def send(
        self,
        stack: AsyncExitStack,
        request: Request,
        body: BytesBody | KeptBody,
        candidate: Candidate,
        *,
        may_retry: bool,
    ) -> Response:
        """Sends a request and returns the response.

        Args:
            stack: Receives what must be closed after the response.
            request: The request.
            body: Its body.
            candidate: The instance.
            may_retry: Whether another attempt is permitted, so that the start
                of a large response is read before the response is returned.

        Raises:
            RefusedError: There is no response.
        """
        self._router.record_start(candidate)
        held_body: HeldBody | None = None
        try:
            async with AsyncExitStack() as attempt:
                response = await self._dispatch(
                    attempt, request, body, candidate
                )
                if (
                    request.large_response
                    and may_retry
                    and body.can_rewind()
                    and not isinstance(response.body, BytesBody)
                ):
                    held_body = attempt.enter_context(
                        HeldBody.hold(response.body, self._response_memory)
                    )
                    await held_body.read_ahead(
                        _HELD_RESPONSE_BYTES, request.useful_until, self._clock
                    )
                    response = response._replace(body=held_body)
                stack.push_async_exit(attempt.pop_all())
        except RefusedError as exc:
            self._router.record_end(candidate, exc.report, exc.code)
            raise
        except BaseException as exc:
            refusal = _make_lost_response_refusal(held_body, exc)
            if refusal is None:
                self._router.record_end(candidate, None)
                raise
            self._router.record_end(candidate, None, refusal.code)
            raise refusal from exc
        stack.callback(self._router.record_end, candidate, response.report)
        return response

    async def _dispatch(
        self,
        stack: AsyncExitStack,
        request: Request,
        body: Body,
        candidate: Candidate,
    ) -> Response:
        deadline = request.deadline + _DEADLINE_GRACE_SECONDS
        with trio.move_on_at(deadline):
            return await stack.enter_async_context(
                self._dispatcher.dispatch(request, body, candidate)
            )
        raise make_deadline_refusal(may_have_run=True)


def _make_lost_response_refusal(
    held_body: HeldBody | None, exc: BaseException
) -> RefusedError | None:
    """Returns the refusal if a response failed while it was read ahead."""
    if (
        held_body is None
        or not held_body.failed
        or not isinstance(exc, RhubarbpaddleError)
    ):
        return None
    refusal = make_failed_body_refusal(exc)
    refusal.may_resend = True
    return refusal
