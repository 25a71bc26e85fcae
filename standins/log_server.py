"""A stand-in for the platform's append-only log."""

import base64
import json
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

import trio

from standins.http_server import StandinRequest, StandinResponse
from standins.log_stream import LogStream

_MAX_RECORDS = 1_000
_SETTINGS = (
    "available",
    "silent",
    "lost_answers",
    "latency_seconds",
    "append_limit",
    "retained_records",
    "retained_seconds",
)


class LogServer:
    """Serves appends and reads.

    `POST /control` with a JSON object sets any of the attributes below except
    `streams` and `appends`; `GET /control` returns them.

    Attributes:
        streams: All streams by name.
        appends: The number of appends that took effect.
        available: False while the log responds with 503 and appends nothing.
        silent: True while the log accepts requests but never responds and
            appends nothing.
        lost_answers: How many of the next appends take effect but get no
            response.
        latency_seconds: How long an append takes to take effect.
        append_limit: Appends that are accepted per second in all streams;
            more are refused with 429. 0 means no limit.
        retained_records: Records that a stream retains; 0 means all.
        retained_seconds: Seconds for which a record is retained; 0 means
            forever.
    """

    def __init__(self) -> None:
        self.streams: defaultdict[str, LogStream] = defaultdict(LogStream)
        self.appends = 0
        self.available = True
        self.silent = False
        self.lost_answers = 0
        self.latency_seconds = 0.0
        self.append_limit = 0
        self.retained_records = 0
        self.retained_seconds = 0.0
        self._second = 0
        self._appends_in_second = 0

    async def handle(self, request: StandinRequest) -> StandinResponse:
        """Responds to one request."""
        url = urlsplit(request.target)
        if url.path == "/control":
            return self._handle_control(request)
        prefix, _, name = url.path.rpartition("/")
        if self.silent:
            await trio.sleep_forever()
        if not self.available:
            return StandinResponse(503, b"{}")
        if prefix != "/streams":
            return StandinResponse(404, b"{}")
        stream = self.streams[name]
        if request.method == "POST":
            return await self._append(stream, request.body)
        stream.enforce_retention(self.retained_records, self.retained_seconds)
        query = {
            key: int(values[0]) for key, values in parse_qs(url.query).items()
        }
        return await self._read(stream, query)

    def _handle_control(self, request: StandinRequest) -> StandinResponse:
        if request.method == "POST":
            document = json.loads(request.body)
            if not set(document) <= set(_SETTINGS):
                return StandinResponse(400, b"{}")
            for name, value in document.items():
                setattr(self, name, value)
        settings = {name: getattr(self, name) for name in _SETTINGS}
        return _to_response({"appends": self.appends, **settings})

    async def _append(
        self, stream: LogStream, payload: bytes
    ) -> StandinResponse:
        if not self._is_within_limit():
            return StandinResponse(429, b"{}")
        if self.latency_seconds:
            await trio.sleep(self.latency_seconds)
        self.appends += 1
        offset = stream.append(payload)
        stream.enforce_retention(self.retained_records, self.retained_seconds)
        if self.lost_answers:
            self.lost_answers -= 1
            return StandinResponse(0, b"")
        return _to_response({"offset": offset})

    def _is_within_limit(self) -> bool:
        second = int(trio.current_time())
        if second != self._second:
            self._second, self._appends_in_second = second, 0
        self._appends_in_second += 1
        return (
            not self.append_limit
            or self._appends_in_second <= self.append_limit
        )

    async def _read(
        self, stream: LogStream, query: dict[str, int]
    ) -> StandinResponse:
        start = max(query.get("from", 0), stream.first_offset)
        if start >= stream.end_offset:
            with trio.move_on_after(query.get("wait_ms", 0) / 1000):
                await stream.appended.wait()
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
