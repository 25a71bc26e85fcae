"""A stand-in for the platform's append-only log."""

import base64
import json
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

import trio

from standins.http_server import StandinRequest, StandinResponse

_MAX_RECORDS = 1_000


class LogStream:
    """The records of one stream."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[bytes] = []
        self.grown = trio.Event()

    @property
    def end_offset(self) -> int:
        """The offset that the next append will get."""
        return self.first_offset + len(self.records)

    def append(self, payload: bytes) -> int:
        """Appends a record and returns its offset."""
        self.records.append(payload)
        self.grown.set()
        self.grown = trio.Event()
        return self.end_offset - 1

    def expire(self, before: int) -> None:
        """Drops all records before an offset."""
        count = max(0, min(before - self.first_offset, len(self.records)))
        del self.records[:count]
        self.first_offset += count


class LogServer:
    """Answers appends and reads.

    Attributes:
        streams: All streams by name.
        available: False while the log refuses to answer.
        lost_answers: How many of the next appends take effect unanswered.
    """

    def __init__(self) -> None:
        self.streams: defaultdict[str, LogStream] = defaultdict(LogStream)
        self.available = True
        self.lost_answers = 0

    async def handle(self, request: StandinRequest) -> StandinResponse:
        """Answers one request."""
        url = urlsplit(request.target)
        prefix, _, name = url.path.rpartition("/")
        if not self.available:
            return StandinResponse(503, b"{}")
        if prefix != "/streams":
            return StandinResponse(404, b"{}")
        stream = self.streams[name]
        if request.method == "POST":
            offset = stream.append(request.body)
            if self.lost_answers:
                self.lost_answers -= 1
                return StandinResponse(0, b"")
            return _to_response({"offset": offset})
        query = {
            key: int(values[0]) for key, values in parse_qs(url.query).items()
        }
        return await self._read(stream, query)

    async def _read(
        self, stream: LogStream, query: dict[str, int]
    ) -> StandinResponse:
        start = max(query.get("from", 0), stream.first_offset)
        if start >= stream.end_offset:
            with trio.move_on_after(query.get("wait_ms", 0) / 1000):
                await stream.grown.wait()
        start = max(start, stream.first_offset)
        limit = min(query.get("limit", _MAX_RECORDS), _MAX_RECORDS)
        index = start - stream.first_offset
        payloads = stream.records[index : index + limit]
        records = [
            {"offset": offset, "payload": base64.b64encode(payload).decode()}
            for offset, payload in enumerate(payloads, start)
        ]
        return _to_response(
            {
                "first_offset": stream.first_offset,
                "end_offset": stream.end_offset,
                "records": records,
            }
        )


def _to_response(document: object) -> StandinResponse:
    return StandinResponse(200, json.dumps(document).encode())
