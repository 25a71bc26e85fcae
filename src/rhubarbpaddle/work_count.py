"""How much work of one kind is in progress."""

from typing import Self

import trio


class WorkCount:
    """Counts work from its start to its end; a context manager for one piece.

    Attributes:
        count: Pieces of work in progress.
    """

    def __init__(self) -> None:
        self.count = 0
        self._ended = trio.Event()

    def __enter__(self) -> Self:
        self.begin()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.end()

    def begin(self) -> None:
        """Notes the start of one piece, for work that spans tasks."""
        self.count += 1

    def end(self) -> None:
        """Notes the end of one piece."""
        self.count -= 1
        if self.count == 0:
            self._ended.set()
            self._ended = trio.Event()

    async def wait_none(self) -> None:
        """Waits until nothing is in progress."""
        while self.count:
            await self._ended.wait()
