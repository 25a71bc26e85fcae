"""A response body that is recorded for replay while it is streamed."""

from collections.abc import Callable

from rhubarbpaddle.execution.body import Body

# For larger bodies, the claim records only that the request has completed.
MAX_RECORDED_BYTES = 16 * 1024


class RecordingBody:
    """Streams a body and passes its content to a callback at its end."""

    def __init__(
        self, body: Body, on_complete: Callable[[bytes | None], None]
    ) -> None:
        """Creates a recording body.

        Args:
            body: The body to stream.
            on_complete: Called once with the whole content, or with None if
                the content exceeds `MAX_RECORDED_BYTES`.
        """
        self._body = body
        self._on_complete = on_complete
        self._recorded: bytearray | None = bytearray()
        self._received = 0
        self._reported = False

    @property
    def length(self) -> int | None:
        """The body's total length in bytes, or None if it is unknown."""
        return self._body.length

    async def receive(self) -> bytes:
        """Returns the next part, or empty bytes at the end.

        Raises:
            TruncatedError: The body ended before it was complete.
        """
        part = await self._body.receive()
        self._received += len(part)
        if self._recorded is not None:
            self._recorded += part
            if len(self._recorded) > MAX_RECORDED_BYTES:
                self._recorded = None
        # A reader may stop at the known length, before it receives the end.
        if not part or self._received == self.length:
            self._report()
        return part

    def _report(self) -> None:
        if not self._reported:
            self._reported = True
            recorded = self._recorded
            self._on_complete(None if recorded is None else bytes(recorded))
