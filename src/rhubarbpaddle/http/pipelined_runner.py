"""Runs requests whose responses must wait for their turn."""

from contextlib import AsyncExitStack, ExitStack

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import Body, BytesBody, Request, Response
from rhubarbpaddle.execution.body_memory import BodyMemory
from rhubarbpaddle.execution.failed_body_refusal import (
    make_failed_body_refusal,
)
from rhubarbpaddle.execution.held_body import HeldBody
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.http.request_pipeline import RequestPipeline
from rhubarbpaddle.http.response_sender import ResponseSender
from rhubarbpaddle.http.server_connection import ServerConnection

# How much of a streamed response is read before its turn.
_MAX_BODY_BYTES_AHEAD = 256 * 1024


class PipelinedRunner:
    """Runs requests at once and sends their responses in turn.

    A response that is in memory before its turn ends the exchange, so that it
    occupies neither a slot of the instance nor a connection while it waits. The
    request in front of it may need that slot.
    """

    def __init__(
        self, gateway: RequestHandler, sender: ResponseSender, clock: Clock
    ) -> None:
        """Creates a runner whose memory for responses is free.

        Args:
            gateway: Handles the requests.
            sender: Sends the responses.
            clock: The source of time.
        """
        self._gateway = gateway
        self._sender = sender
        self._clock = clock
        self._memory = BodyMemory()

    async def run(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        method: bytes,
        request: Request,
        turn: trio.Event,
    ) -> Response:
        """Runs a request without a body and sends its response.

        Args:
            conn: The connection.
            pipeline: The requests behind this one.
            method: The method of the request.
            request: The request.
            turn: Set once the response may be sent.

        Returns:
            The response, which was sent.

        Raises:
            RefusedError: There is no response, or its body could not be read.
        """
        with ExitStack() as held_bodies:
            async with AsyncExitStack() as exchange:
                response = await exchange.enter_async_context(
                    self._gateway.handle(request, BytesBody(b""))
                )
                if not turn.is_set():
                    response = await self._read_ahead(
                        held_bodies, request, response
                    )
                    if _is_in_memory(response.body):
                        await exchange.aclose()
                    await turn.wait()
                await self._sender.send(conn, pipeline, method, response)
        return response

    async def _read_ahead(
        self, stack: ExitStack, request: Request, response: Response
    ) -> Response:
        """Reads the first part of a streamed response into memory.

        Args:
            stack: Holds the memory of the body.
            request: The request.
            response: Its response.

        Raises:
            RefusedError: The body could not be read.
        """
        if isinstance(response.body, BytesBody):
            return response
        held_body = stack.enter_context(
            HeldBody.hold(response.body, self._memory)
        )
        try:
            await held_body.read_ahead(
                _MAX_BODY_BYTES_AHEAD, request.useful_until, self._clock
            )
        except RhubarbpaddleError as exc:
            raise make_failed_body_refusal(exc) from exc
        return response._replace(body=held_body)


def _is_in_memory(body: Body) -> bool:
    return isinstance(body, BytesBody) or (
        isinstance(body, HeldBody) and body.complete
    )
