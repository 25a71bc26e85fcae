"""Log client of a process that can be paused."""

from datetime import timedelta

import trio

from features.support.fake_log import FakeLog
from rhubarbpaddle.log import Batch


class PausableLog:
    """Delays requests and responses while the process is paused."""

    def __init__(self, log: FakeLog) -> None:
        self._log = log
        self._running = trio.Event()
        self._running.set()

    def pause(self) -> None:
        if self._running.is_set():
            self._running = trio.Event()

    def resume(self) -> None:
        self._running.set()

    async def append(self, stream: str, payload: bytes) -> int:
        await self._running.wait()
        try:
            return await self._log.append(stream, payload)
        finally:
            await self._running.wait()

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> Batch:
        await self._running.wait()
        try:
            return await self._log.read(stream, start, limit, wait)
        finally:
            await self._running.wait()
