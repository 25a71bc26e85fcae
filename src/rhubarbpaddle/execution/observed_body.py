"""A body that remembers how reading it ended."""

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution.body import Body


class ObservedBody:
    """Passes a body on.

    Attributes:
        failed: Whether the body's source broke off.
    """

    def __init__(self, body: Body) -> None:
        self._body = body
        self.failed = False

    @property
    def length(self) -> int | None:
        """Bytes in all, or None if this is not known beforehand."""
        return self._body.length

    async def receive(self) -> bytes:
        """Returns the next part, or no bytes at the end."""
        try:
            return await self._body.receive()
        except RhubarbpaddleError:
            self.failed = True
            raise
