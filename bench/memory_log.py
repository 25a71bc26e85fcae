"""An in-memory log whose appends take a fixed time."""

from collections import defaultdict
from datetime import timedelta

import trio

from rhubarbpaddle.exceptions import LogUnavailableError
from rhubarbpaddle.log import Batch, Record


class MemoryLog:
    """Implements `LogClient` in memory.

    Attributes:
        appends: The number of appends.
        down: Whether all calls fail immediately.
        silent: Whether all calls fail after 2 s, like those of a client whose
            log does not respond.
    """

    def __init__(self, append_seconds: float) -> None:
        self.appends = 0
        self.down = False
        self.silent = False
        self._append_seconds = append_seconds
        self._streams: defaultdict[str, list[bytes]] = defaultdict(list)

    async def append(self, stream: str, payload: bytes) -> int:
        await self._check("append")
        await trio.sleep(self._append_seconds)
        self.appends += 1
        records = self._streams[stream]
        records.append(payload)
        return len(records) - 1

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> Batch:
        await self._check("read")
        records = self._streams[stream]
        page = records[start : start + limit]
        return Batch(
            0,
            len(records),
            tuple(
                Record(offset, record_payload)
                for offset, record_payload in enumerate(page, start)
            ),
        )

    async def _check(self, step: str) -> None:
        await trio.lowlevel.checkpoint()
        if self.silent:
            await trio.sleep(2.0)
        if self.silent or self.down:
            raise LogUnavailableError("down", step=step)
