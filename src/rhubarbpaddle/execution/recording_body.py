"""A response's body that is kept for replay while it is passed on."""

from collections.abc import Callable

from rhubarbpaddle.execution.body import Body

# Larger bodies are not kept; their claims hold only the fact of completion.
MAX_RECORDED_BYTES = 16 * 1024


class RecordingBody:
    """Passes a body on and reports it once it was read to its end."""

    def __init__(
        self, body: Body, on_complete: Callable[[bytes | None], None]
    ) -> None:
        self._body = body
        self._on_complete = on_complete
        self._recorded: bytearray | None = bytearray()
        self._received = 0
        self._complete = False

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        return self._body.length

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end.

        Raises:
            TruncatedError: The body ended before it was whole.
        """
        chunk = await self._body.receive()
        self._received += len(chunk)
        if self._recorded is not None:
            self._recorded += chunk
            if len(self._recorded) > MAX_RECORDED_BYTES:
                self._recorded = None
        # A reader that knows the length may not ask for the end.
        if not chunk or self._received == self.length:
            self._report()
        return chunk

    def _report(self) -> None:
        if not self._complete:
            self._complete = True
            recorded = self._recorded
            self._on_complete(None if recorded is None else bytes(recorded))
