"""A log in memory behind the product's `LogClient` protocol."""

from datetime import timedelta

import trio

from rhubarbpaddle.exceptions import AppendUnknownError, LogUnavailableError
from rhubarbpaddle.log import Batch, Record

_LATE_SECONDS = 3.0


class FakeLog:
    """One stream with faults.

    Attributes:
        down: Whether reads and appends are refused.
        lost: How many of the next appends take effect unanswered.
        late: How many of the next appends take effect 3 s after they failed.
        latency: Seconds that an append takes.
        lost_records: Whether records that it had are gone, for its witness.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.down = False
        self.lost = 0
        self.late = 0
        self.latency = 0.0
        self.first_offset = 0
        self.lost_records = False
        self.records: list[tuple[float, bytes]] = []
        self._nursery = nursery

    async def append(self, stream: str, payload: bytes) -> int:
        await trio.sleep(self.latency)
        if self.down:
            raise LogUnavailableError("down", step="append")
        if self.late:
            self.late -= 1
            self._nursery.start_soon(self._append_late, payload)
            raise AppendUnknownError("late", step="append")
        offset = self._push(payload)
        if self.lost:
            self.lost -= 1
            raise AppendUnknownError("lost", step="append")
        return offset

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> Batch:
        await trio.lowlevel.checkpoint()
        if self.down:
            raise LogUnavailableError("down", step="read")
        start = max(start, self.first_offset)
        index = start - self.first_offset
        records = tuple(
            Record(offset, payload)
            for offset, (_, payload) in enumerate(
                self.records[index : index + limit], start
            )
        )
        end = self.first_offset + len(self.records)
        return Batch(self.first_offset, end, records)

    async def has_lost_records(self) -> bool:
        return self.lost_records

    def lose(self) -> None:
        """Loses all records, as when the log starts anew."""
        self.lost_records = True
        self.records.clear()
        self.first_offset = 0

    def expire(self, seconds: float) -> None:
        """Drops records older than this."""
        oldest = trio.current_time() - seconds
        while self.records and self.records[0][0] < oldest:
            del self.records[0]
            self.first_offset += 1

    def _push(self, payload: bytes) -> int:
        self.records.append((trio.current_time(), payload))
        return self.first_offset + len(self.records) - 1

    async def _append_late(self, payload: bytes) -> None:
        await trio.sleep(_LATE_SECONDS)
        self._push(payload)
