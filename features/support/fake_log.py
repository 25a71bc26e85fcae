"""In-memory log that implements `LogClient` and injects faults."""

from datetime import timedelta

import trio

from rhubarbpaddle.exceptions import AppendUnknownError, LogUnavailableError
from rhubarbpaddle.log import Batch, Record

_LATE_SECONDS = 3.0


class FakeLog:
    """Simulates one stream of the log.

    Attributes:
        down: Whether reads and appends are refused.
        lost_responses: How many of the next appends take effect, but report
            that their outcome is unknown.
        late_appends: How many of the next appends take effect 3 s after they
            failed.
        append_seconds: How long an append takes.
        first_offset: The oldest offset that the stream still retains.
        lost_records: Whether records were lost, as `has_lost_records` returns.
        records: The time of the append and the payload of each record.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.down = False
        self.lost_responses = 0
        self.late_appends = 0
        self.append_seconds = 0.0
        self.first_offset = 0
        self.lost_records = False
        self.records: list[tuple[float, bytes]] = []
        self._nursery = nursery

    async def append(self, stream: str, payload: bytes) -> int:
        await trio.sleep(self.append_seconds)
        if self.down:
            raise LogUnavailableError("down", step="append")
        if self.late_appends:
            self.late_appends -= 1
            self._nursery.start_soon(self._append_late, payload)
            raise AppendUnknownError("late", step="append")
        offset = self._add_record(payload)
        if self.lost_responses:
            self.lost_responses -= 1
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

    def lose_records(self) -> None:
        """Deletes all records, like a log that restarts without its storage."""
        self.lost_records = True
        self.records.clear()
        self.first_offset = 0

    def expire(self, seconds: float) -> None:
        """Deletes the records that are older than a number of seconds."""
        oldest = trio.current_time() - seconds
        while self.records and self.records[0][0] < oldest:
            del self.records[0]
            self.first_offset += 1

    def _add_record(self, payload: bytes) -> int:
        self.records.append((trio.current_time(), payload))
        return self.first_offset + len(self.records) - 1

    async def _append_late(self, payload: bytes) -> None:
        await trio.sleep(_LATE_SECONDS)
        self._add_record(payload)
