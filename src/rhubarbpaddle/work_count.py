"""Counts operations in progress, so that a shutdown can await their end."""

from typing import Self

import trio


class WorkCount:
    """Counts operations in progress; as a context manager, counts one.

    Attributes:
        count: Operations in progress.
    """

    def __init__(self) -> None:
        self.count = 0
        self._all_ended = trio.Event()

    def __enter__(self) -> Self:
        self.begin()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.end()

    def begin(self) -> None:
        """Records the start of an operation, for one that spans tasks."""
        self.count += 1

    def end(self) -> None:
        """Records the end of an operation."""
        self.count -= 1
        if self.count == 0:
            self._all_ended.set()
            self._all_ended = trio.Event()

    async def wait_idle(self) -> None:
        """Waits until no operation is in progress."""
        while self.count:
            await self._all_ended.wait()
