"""One stream of the stand-in log."""

from bisect import bisect_left

import trio


class LogStream:
    """The records of one stream.

    Attributes:
        first_offset: The oldest offset that is retained.
        records: The payloads from the first offset on.
        times: When each record was appended, in seconds of trio's clock.
        appended: Set by the next append, then replaced.
    """

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[bytes] = []
        self.times: list[float] = []
        self.appended = trio.Event()

    @property
    def end_offset(self) -> int:
        """The offset that the next append will get."""
        return self.first_offset + len(self.records)

    def append(self, payload: bytes) -> int:
        """Appends a record and returns its offset."""
        self.records.append(payload)
        try:
            self.times.append(trio.current_time())
        except RuntimeError:
            # Test steps fill streams before the event loop starts.
            self.times.append(0.0)
        self.appended.set()
        self.appended = trio.Event()
        return self.end_offset - 1

    def expire(self, before: int) -> None:
        """Deletes all records before an offset."""
        count = max(0, min(before - self.first_offset, len(self.records)))
        del self.records[:count]
        del self.times[:count]
        self.first_offset += count

    def enforce_retention(self, count: int, seconds: float) -> None:
        """Deletes records beyond a count or an age; 0 means no limit."""
        if count:
            self.expire(self.end_offset - count)
        if seconds:
            oldest = trio.current_time() - seconds
            expired = bisect_left(self.times, oldest)
            self.expire(self.first_offset + expired)
