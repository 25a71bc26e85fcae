"""A stand-in for the platform's metadata store."""

import asyncio
import base64
import contextlib
import json
import struct
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from harness3.http_message import HttpMessage, make_message, read_message
from harness3.record import Record

_PAGE = 500


class Entry(NamedTuple):
    """A record of a keyed topic; without a value, the key is dropped."""

    key: str
    value: bytes


class Store:
    """Keyed topics of one partition, as PROTOCOL.md describes them.

    Attributes:
        era: The value of the header `Store-Era` in all answers.
        polled_at: When `keyed.op` was last polled at each of its ports.
        away: Whether the store is down: it resets what is open and refuses
            new connections by resetting them.
        topics: The records of each topic; offsets count from 0.
    """

    def __init__(self, record: Record) -> None:
        """Creates an empty store."""
        self.era = 1
        self.polled_at: dict[int, float] = {}
        self.away = False
        self.topics: dict[str, list[Entry]] = {}
        self._record = record
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def serve(self, ip: str, port: int) -> asyncio.Server:
        """Starts to serve calls."""
        return await asyncio.start_server(self._handle, ip, port)

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record and returns its offset."""
        entries = self.topics.setdefault(topic, [])
        entries.append(Entry(key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(entries) - 1

    def write(self, key: str, value: bytes) -> None:
        """Writes `op/KEY`, as the operator does; it returns with the ack."""
        offset = self.put("keyed.op", key, value)
        self._record.add(
            "operator_write", key=f"op/{key}", offset=offset, era=self.era
        )

    def copy(self) -> dict[str, list[Entry]]:
        """Returns a copy of all records."""
        return {topic: list(entries) for topic, entries in self.topics.items()}

    def go_away(self) -> None:
        """Goes down: all connections are reset."""
        self.away = True
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._record.add("store_away")

    def come_back(self, copy: dict[str, list[Entry]] | None) -> None:
        """Comes back from a copy, or with all that it had if there is none."""
        if copy is not None:
            self.topics = copy
            self.era += 1
        self.away = False
        ends = {topic: len(items) for topic, items in self.topics.items()}
        self._record.add("store_back", era=self.era, ends=ends)

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
                while True:
                    call = await read_message(reader)
                    if "/log-read?topic=keyed.op" in call.start[1]:
                        port = writer.get_extra_info("sockname")[1]
                        self.polled_at[port] = self._record.now()
                    status, body = await self._respond(call)
                    headers = {
                        "Content-Type": "application/json",
                        "Store-Era": str(self.era),
                    }
                    start = f"HTTP/1.1 {status} -"
                    writer.write(make_message(start, headers, body))
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, call: HttpMessage) -> tuple[int, bytes]:
        await asyncio.sleep(0.004)
        url = urlsplit(call.start[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if topic in ("keyed.op", "keyed.servers") and call.start[0] == "POST":
            return 403, b"{}"
        match url.path:
            case "/log-append":
                return self._append(topic, query, call.body)
            case "/log-newest":
                return self._read_newest(topic, query.get("after", ""))
            case "/log-read":
                return await self._read(topic, query)
        return 404, b"{}"

    def _append(
        self, topic: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        first = len(self.topics.get(topic, ()))
        if int(query.get("at", first)) != first:
            return 412, json.dumps({"end": first}).encode()
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key = content[1 : 1 + content[0]].decode()
            self.put(topic, key, content[1 + content[0] :])
        end = len(self.topics.get(topic, ()))
        return 200, json.dumps({"offset": first, "end": end}).encode()

    def _read_newest(self, topic: str, after: str) -> tuple[int, bytes]:
        entries = self.topics.get(topic, [])
        newest = {entry.key: at for at, entry in enumerate(entries)}
        found = sorted(
            (key, at)
            for key, at in newest.items()
            if entries[at].value and key > after
        )
        items = [
            {
                "key": key,
                "value": base64.b64encode(entries[at].value).decode(),
                "offset": at,
            }
            for key, at in found[:_PAGE]
        ]
        document = {
            "items": items,
            "hasMore": len(found) > _PAGE,
            "end": len(entries),
        }
        return 200, json.dumps(document).encode()

    async def _read(
        self, topic: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        start = int(query["from"])
        until = asyncio.get_running_loop().time() + (
            int(query.get("waitMs", "0")) / 1000
        )
        while True:
            entries = self.topics.get(topic, [])
            if start > len(entries):
                # An offset that the store doesn't have.
                return 410, b'{"first": 0}'
            remaining = until - asyncio.get_running_loop().time()
            if start < len(entries) or remaining <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)
        data = struct.pack(">QQ", len(entries), 0)
        for entry in entries[start:]:
            key = entry.key.encode()
            content = bytes([len(key)]) + key + entry.value
            data += struct.pack(">I", len(content)) + content
        return 200, data
