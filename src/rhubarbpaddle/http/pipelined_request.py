"""A request that was read before the ones in front of it were answered."""

import h11
import trio

from rhubarbpaddle.http.read_request import ReadRequest


class PipelinedRequest:
    """A request in the queue of a caller's connection.

    Attributes:
        read: The request; None if reading it failed.
        h11: The state machine that parsed it and sends its response.
        head_bytes: The size of its head.
        runs_ahead: Whether it runs before its turn.
        scope: Encloses its run.
        turn: Set once all requests in front of it have been answered.
        ended: Set once its response was sent or has failed.
        error: Why it could not be read or answered, or None.
    """

    def __init__(
        self,
        read: ReadRequest | None,
        state: h11.Connection,
        head_bytes: int = 0,
        *,
        runs_ahead: bool = False,
        error: Exception | None = None,
    ) -> None:
        self.read = read
        self.h11 = state
        self.head_bytes = head_bytes
        self.runs_ahead = runs_ahead
        self.scope = trio.CancelScope()
        self.turn = trio.Event()
        self.ended = trio.Event()
        self.error = error
