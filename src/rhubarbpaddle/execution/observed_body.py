"""A body that records whether reading it failed."""

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution.body import Body


class ObservedBody:
    """Streams a body and records whether reading it failed.

    Attributes:
        error: Why the source of the body failed before its end, or None.
    """

    def __init__(self, body: Body) -> None:
        self._body = body
        self.error: RhubarbpaddleError | None = None

    @property
    def failed(self) -> bool:
        """Whether the source of the body failed before its end."""
        return self.error is not None

    @property
    def length(self) -> int | None:
        """The body's total length in bytes, or None if it is unknown."""
        return self._body.length

    async def receive(self) -> bytes:
        """Returns the next part, or empty bytes at the end.

        Raises:
            RhubarbpaddleError: The source of the body failed.
        """
        try:
            return await self._body.receive()
        except RhubarbpaddleError as exc:
            self.error = exc
            raise
